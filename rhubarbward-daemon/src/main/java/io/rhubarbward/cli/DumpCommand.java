package io.rhubarbward.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.rhubarbward.net.backend.HttpClients;
import java.io.IOException;
import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.asynchttpclient.AsyncHttpClient;

/** {@code rhubarbward dump}: shows the state of a running router. */
final class DumpCommand implements Command {
    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("dump")
                        .help("show a running router's state as JSON")
                        .setDefault(CHOSEN, this);
        parser.addArgument("--router")
                .required(true)
                .metavar("HOST:PORT")
                .help("the router's address for operators");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        String router = arguments.getString("router");
        try (AsyncHttpClient client = HttpClients.open("dump")) {
            String text =
                    client.prepareGet("http://" + router + "/debug/state")
                            .execute()
                            .toCompletableFuture()
                            .join()
                            .getResponseBody();
            console.printJson(new ObjectMapper().readTree(text));
            return ExitCode.OK;
        } catch (CompletionException e) {
            return console.fail(
                    ExitCode.UNREACHABLE, router + " does not answer: " + e.getMessage());
        } catch (JsonProcessingException e) {
            return console.fail(ExitCode.UNREACHABLE, router + " answers with what is not a dump");
        } catch (IOException e) {
            return console.fail(ExitCode.FAILED, String.valueOf(e.getMessage()));
        }
    }
}
