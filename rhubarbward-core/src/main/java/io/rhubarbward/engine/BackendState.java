package io.rhubarbward.engine;

import io.rhubarbward.config.Service;

/** What a backend server can bear; follows from what is known of it, never from time alone. */
public enum BackendState {
    /** Just started or restarted: carries only a little. */
    COLD {
        @Override
        public int capacity(Service service, long completed) {
            return Ramp.capacity(service, completed);
        }
    },
    /** On its ramp from cold to ready. */
    WARMING {
        @Override
        public int capacity(Service service, long completed) {
            return Ramp.capacity(service, completed);
        }
    },
    /** Carries its full load. */
    READY {
        @Override
        public int capacity(Service service, long completed) {
            return service.concurrency();
        }
    },
    /** Finishes what it has and gets no new work. */
    LEAVING {
        @Override
        public int capacity(Service service, long completed) {
            return 0;
        }
    },
    /** Does not answer. */
    LOST {
        @Override
        public int capacity(Service service, long completed) {
            return 0;
        }
    };

    /**
     * Returns how many requests the backend server may carry at once.
     *
     * @param service the service it belongs to
     * @param completed requests that it has completed on its ramp
     */
    public abstract int capacity(Service service, long completed);

    /** Returns whether new work may go to the backend server. */
    public boolean takesNewWork() {
        return this != LEAVING && this != LOST;
    }

    /** Returns the state of a live engine that has completed the requests on its ramp. */
    static BackendState onRamp(Service service, long completed) {
        int capacity = Ramp.capacity(service, completed);
        if (capacity >= service.concurrency()) {
            return READY;
        }
        return capacity > service.coldConcurrency() ? WARMING : COLD;
    }
}
