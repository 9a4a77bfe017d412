package io.rhubarbward.cli;

import io.rhubarbward.move.JudgementRule;
import io.rhubarbward.move.RolloutPlan;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Declares and parses the arguments that make up a {@link RolloutPlan}. */
final class RolloutPlanArguments {
    private static final int RULE_VALUE_COUNT = 4;

    private RolloutPlanArguments() {}

    static void configure(Subparser parser) {
        parser.addArgument("--service").required(true);
        parser.addArgument("--from").required(true).metavar("VERSION");
        parser.addArgument("--to").required(true).metavar("VERSION");
        parser.addArgument("--finish-in-minutes")
                .type(Double.class)
                .required(true)
                .help("the deadline for the last stage, in minutes from now");
        parser.addArgument("--watch-minutes")
                .type(Double.class)
                .setDefault(30.0)
                .help(
                        "how long the new version is judged after the last stage is reached"
                                + " (default: 30)");
        parser.addArgument("--min-stage-seconds").type(Double.class).setDefault(30.0);
        parser.addArgument("--stages")
                .metavar("PERMILLE,...")
                .setDefault(join(RolloutPlan.DEFAULT_STAGES))
                .help(
                        "the new version's share of the chats at each stage, in permille"
                                + " (default: 10,50,100,250,500,950)");
        parser.addArgument("--rule")
                .metavar("ROUTE=ERROR_RATIO,FIRST_MILLIS,BETWEEN_MILLIS,SLOW_RATIO")
                .action(Arguments.append())
                .setDefault(new ArrayList<String>())
                .help(
                        "the rule by which the new version is judged on a route;"
                                + " give it once for each route");
    }

    private static String join(List<Integer> stages) {
        return String.join(",", stages.stream().map(String::valueOf).toList());
    }

    /**
     * Returns the plan that the arguments give.
     *
     * @throws IllegalArgumentException if a value is invalid; the message names what was expected
     */
    static RolloutPlan plan(Namespace arguments, long nowMillis) {
        Map<String, JudgementRule> rules = new HashMap<>();
        arguments.<String>getList("rule").forEach(text -> addRule(text, rules));
        return new RolloutPlan(
                arguments.getString("service"),
                arguments.getString("from"),
                arguments.getString("to"),
                nowMillis,
                nowMillis + millis(arguments.getDouble("finish_in_minutes"), Duration.ofMinutes(1)),
                parseStages(arguments.getString("stages")),
                millis(arguments.getDouble("min_stage_seconds"), Duration.ofSeconds(1)),
                millis(arguments.getDouble("watch_minutes"), Duration.ofMinutes(1)),
                rules);
    }

    private static long millis(double amount, Duration unit) {
        return Math.round(amount * unit.toMillis());
    }

    private static List<Integer> parseStages(String text) {
        try {
            return Arrays.stream(text.split(",", -1)).map(Integer::valueOf).toList();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "--stages \"" + text + "\": expected shares in permille, such as 10,100,950",
                    e);
        }
    }

    private static void addRule(String text, Map<String, JudgementRule> rules) {
        int separator = text.lastIndexOf('=');
        String[] values = text.substring(separator + 1).split(",", -1);
        try {
            if (separator < 1 || values.length != RULE_VALUE_COUNT) {
                throw new NumberFormatException("expected ROUTE= and four numbers");
            }
            rules.put(
                    text.substring(0, separator),
                    new JudgementRule(
                            Double.parseDouble(values[0]),
                            Long.parseLong(values[1]),
                            Long.parseLong(values[2]),
                            Double.parseDouble(values[3])));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "--rule \""
                            + text
                            + "\": expected ROUTE= and four numbers, such as /v1/=0.01,770,32,0.05",
                    e);
        }
    }
}
