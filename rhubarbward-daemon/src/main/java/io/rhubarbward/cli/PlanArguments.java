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

/** The arguments that state a rollout's plan. */
final class PlanArguments {
    private static final int RULE_PARTS = 4;

    private PlanArguments() {}

    static void configure(Subparser parser) {
        parser.addArgument("--service").required(true);
        parser.addArgument("--from").required(true).metavar("VERSION");
        parser.addArgument("--to").required(true).metavar("VERSION");
        parser.addArgument("--finish-in-minutes")
                .type(Double.class)
                .required(true)
                .help("when the last stage must be reached");
        parser.addArgument("--watch-minutes")
                .type(Double.class)
                .setDefault(30.0)
                .help("how long the version is judged after that; default 30");
        parser.addArgument("--min-stage-seconds").type(Double.class).setDefault(30.0);
        parser.addArgument("--stages")
                .metavar("PERMILLE,...")
                .setDefault(text(RolloutPlan.DEFAULT_STAGES))
                .help("the new version's share at each stage; default %(default)s");
        parser.addArgument("--rule")
                .metavar("ROUTE=ERROR_RATIO,FIRST_MILLIS,BETWEEN_MILLIS,SLOW_RATIO")
                .action(Arguments.append())
                .setDefault(new ArrayList<String>())
                .help("a route's judgement rule; once for each route");
    }

    private static String text(List<Integer> stages) {
        return String.join(",", stages.stream().map(String::valueOf).toList());
    }

    /**
     * Returns the plan that the command line states.
     *
     * @throws IllegalArgumentException if a value is not allowed; the message says what is
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
                stages(arguments.getString("stages")),
                millis(arguments.getDouble("min_stage_seconds"), Duration.ofSeconds(1)),
                millis(arguments.getDouble("watch_minutes"), Duration.ofMinutes(1)),
                rules);
    }

    private static long millis(double amount, Duration unit) {
        return Math.round(amount * unit.toMillis());
    }

    private static List<Integer> stages(String text) {
        try {
            return Arrays.stream(text.split(",", -1)).map(Integer::valueOf).toList();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "--stages \"" + text + "\": expected numbers such as 10,100,950", e);
        }
    }

    private static void addRule(String text, Map<String, JudgementRule> rules) {
        int equals = text.lastIndexOf('=');
        String[] parts = text.substring(equals + 1).split(",", -1);
        try {
            if (equals < 1 || parts.length != RULE_PARTS) {
                throw new NumberFormatException("expected ROUTE=N,N,N,N");
            }
            rules.put(
                    text.substring(0, equals),
                    new JudgementRule(
                            Double.parseDouble(parts[0]),
                            Long.parseLong(parts[1]),
                            Long.parseLong(parts[2]),
                            Double.parseDouble(parts[3])));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "--rule \"" + text + "\": expected such as /v1/=0.01,770,32,0.05", e);
        }
    }
}
