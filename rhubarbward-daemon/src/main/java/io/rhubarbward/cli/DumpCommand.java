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

/** {@code rhubarbward dump}: prints the state of a running router as JSON. */
final class DumpCommand implements Command {
    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("dump")
                        .help("print a running router's state as JSON")
                        .setDefault(COMMAND_KEY, this);
        parser.addArgument("--router")
                .required(true)
                .metavar("HOST:PORT")
                .help("the address at which the router serves operators");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        String router = arguments.getString("router");
        try (AsyncHttpClient client = HttpClients.open("dump")) {
            String body =
                    client.prepareGet("http://" + router + "/debug/state")
                            .execute()
                            .toCompletableFuture()
                            .join()
                            .getResponseBody();
            console.printJson(new ObjectMapper().readTree(body));
            return ExitCode.OK;
        } catch (CompletionException e) {
            return console.fail(
                    ExitCode.UNREACHABLE,
                    router + ": no response to the request for its state: " + e.getMessage());
        } catch (JsonProcessingException e) {
            return console.fail(
                    ExitCode.UNREACHABLE,
                    router + ": expected JSON in the response from /debug/state");
        } catch (IOException e) {
            return console.fail(ExitCode.FAILED, String.valueOf(e.getMessage()));
        }
    }
}
