package io.rhubarbward.membership;

/** What is known of another router, from its heartbeats and from the platform's VM list. */
public enum MemberStatus {
    /** On the VM list and never heard; it may have just started, or be gone. */
    UNHEARD {
        @Override
        public boolean owns() {
            return false;
        }
    },
    /** Heard within the last few heartbeat periods. */
    LIVE,
    /** Not heard of late; others are asked whether they hear it. */
    SUSPECT,
    /** Heard again after it was dead several times; it owns nothing until it has stayed. */
    HELD_DOWN {
        @Override
        public boolean owns() {
            return false;
        }
    },
    /** Neither heard here nor by those who were asked. */
    DEAD {
        @Override
        public boolean owns() {
            return false;
        }

        @Override
        public boolean running() {
            return false;
        }
    };

    /** Returns whether the router may own keys. */
    public boolean owns() {
        return true;
    }

    /** Returns whether the router may be running, and so may hold quota leases. */
    public boolean running() {
        return true;
    }
}
