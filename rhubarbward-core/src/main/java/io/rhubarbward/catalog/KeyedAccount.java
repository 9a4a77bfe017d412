package io.rhubarbward.catalog;

import java.util.List;
import java.util.OptionalInt;

/**
 * A client account and its API keys.
 *
 * @param name the account's name
 * @param keys the API keys that authenticate its callers
 * @param priority priority of its requests, 0 the highest; empty to use the route's
 */
public record KeyedAccount(String name, List<String> keys, OptionalInt priority) {
    public KeyedAccount {
        keys = List.copyOf(keys);
    }
}
