package io.rhubarbward.request;

import io.rhubarbward.config.ClientAccount;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import java.util.Optional;

/**
 * A request that passed all checks on what it says.
 *
 * @param caller the request
 * @param account whose it is
 * @param service where it goes
 * @param chat the chat it belongs to, if any
 * @param settings the settings in force when it came
 */
record AcceptedRequest(
        CallerRequest caller,
        ClientAccount account,
        Service service,
        Optional<String> chat,
        Settings settings) {
    RetryPolicy retryPolicy() {
        return RetryPolicy.of(service, caller.method());
    }
}
