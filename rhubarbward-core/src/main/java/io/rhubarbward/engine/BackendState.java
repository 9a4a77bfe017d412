package io.rhubarbward.engine;

import io.rhubarbward.config.Service;

/** What a backend server can bear. */
public enum BackendState {
    /** Just started or restarted: carries only a little. */
    COLD {
        @Override
        public int capacity(Service service) {
            return service.coldConcurrency();
        }
    },
    /** On its ramp from cold to ready. */
    WARMING {
        @Override
        public int capacity(Service service) {
            return Math.max(service.coldConcurrency(), service.concurrency() / 2);
        }
    },
    /** Carries its full load. */
    READY {
        @Override
        public int capacity(Service service) {
            return service.concurrency();
        }
    },
    /** Finishes what it has and gets no new work. */
    LEAVING {
        @Override
        public int capacity(Service service) {
            return 0;
        }
    },
    /** Does not answer. */
    LOST {
        @Override
        public int capacity(Service service) {
            return 0;
        }
    };

    /** Returns how many requests the backend server may carry at once. */
    public abstract int capacity(Service service);

    /** Returns whether new work may go to the backend server. */
    public boolean takesNewWork() {
        return this != LEAVING && this != LOST;
    }
}
