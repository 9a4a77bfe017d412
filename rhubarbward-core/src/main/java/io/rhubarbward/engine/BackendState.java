package io.rhubarbward.engine;

import io.rhubarbward.config.Service;

/**
 * Lifecycle state of a backend server, which limits how many requests it may carry.
 *
 * <p>Elapsed time alone never makes a cold engine ready: only completed requests do.
 */
public enum BackendState {
    /** Engine at the start of slow start: carries only the service's cold concurrency. */
    COLD {
        @Override
        public int capacity(Service service, long completed) {
            return SlowStartRamp.capacity(service, completed);
        }
    },
    /** Engine on its slow-start ramp from cold to ready. */
    WARMING {
        @Override
        public int capacity(Service service, long completed) {
            return SlowStartRamp.capacity(service, completed);
        }
    },
    /** Carries the service's full concurrency. */
    READY {
        @Override
        public int capacity(Service service, long completed) {
            return service.concurrency();
        }
    },
    /** Finishes its running requests and gets no new ones. */
    LEAVING {
        @Override
        public int capacity(Service service, long completed) {
            return 0;
        }
    },
    /** Missed several load reports in a row. */
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
     * @param completed requests that it has completed on its slow-start ramp
     */
    public abstract int capacity(Service service, long completed);

    /** Returns whether new requests may go to the backend server. */
    public boolean takesNewWork() {
        return this != LEAVING && this != LOST;
    }

    /**
     * Returns the state of an engine that reports and is not leaving.
     *
     * @param service the service it belongs to
     * @param completed requests that it has completed on its slow-start ramp
     */
    static BackendState ofLiveEngine(Service service, long completed) {
        int capacity = SlowStartRamp.capacity(service, completed);
        if (capacity >= service.concurrency()) {
            return READY;
        }
        return capacity > service.coldConcurrency() ? WARMING : COLD;
    }
}
