package io.rhubarbward.membership;

/** Liveness of another router, from its heartbeats, indirect probes and the platform's VM list. */
public enum MemberStatus {
    /** On the VM list but not heard yet; it may have just started, or be gone. */
    UNHEARD {
        @Override
        public boolean mayOwnKeys() {
            return false;
        }
    },
    /** Heard within the last few heartbeat periods. */
    LIVE,
    /** Not heard for a few periods; other routers are asked whether they hear it. */
    SUSPECT,
    /** Heard again after it was repeatedly dead; owns no keys until the flap damping ends. */
    HELD_DOWN {
        @Override
        public boolean mayOwnKeys() {
            return false;
        }
    },
    /** Heard neither here nor by the routers that were asked. */
    DEAD {
        @Override
        public boolean mayOwnKeys() {
            return false;
        }

        @Override
        public boolean mayBeRunning() {
            return false;
        }
    };

    /** Returns whether the router may own keys. */
    public boolean mayOwnKeys() {
        return true;
    }

    /** Returns whether the router may be running, and so may hold quota leases. */
    public boolean mayBeRunning() {
        return true;
    }
}
