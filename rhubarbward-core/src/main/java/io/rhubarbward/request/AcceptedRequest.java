package io.rhubarbward.request;

import io.rhubarbward.config.ClientAccount;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import java.util.Optional;

/**
 * A request that passed validation, with what was resolved from it.
 *
 * @param caller the request as the caller sent it
 * @param account the authenticated client account
 * @param service the service that it is for
 * @param chat the chat that it belongs to, if any
 * @param settings the settings in force when it arrived
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
