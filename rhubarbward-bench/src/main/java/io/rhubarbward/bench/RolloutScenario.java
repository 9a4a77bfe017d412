package io.rhubarbward.bench;

/** How the versions of a replayed rollout behave. */
enum RolloutScenario {
    GOOD(true) {
        @Override
        Fault fault(Call call) {
            return Fault.NONE;
        }
    },
    GOOD_IN_A_BAD_MINUTE(true) {
        @Override
        Fault fault(Call call) {
            return Fault.NONE;
        }

        @Override
        double fleetErrors(double minute) {
            return minute >= BAD_MINUTE && minute < BAD_MINUTE + 1 ? BAD_MINUTE_ERRORS : 0;
        }
    },
    ERRORS_AT_ONCE(false) {
        @Override
        Fault fault(Call call) {
            return call.chance() < OFTEN ? Fault.ERROR : Fault.NONE;
        }
    },
    FEW_ERRORS_AT_ONCE(false) {
        @Override
        Fault fault(Call call) {
            return call.chance() < SELDOM ? Fault.ERROR : Fault.NONE;
        }
    },
    SLOW_AT_ONCE(false) {
        @Override
        Fault fault(Call call) {
            return call.chance() < OFTEN ? Fault.SLOW : Fault.NONE;
        }
    },
    ERRORS_AFTER_TEN_MINUTES(false) {
        @Override
        Fault fault(Call call) {
            return call.minute() > LATE_MINUTE && call.chance() < OFTEN ? Fault.ERROR : Fault.NONE;
        }
    },
    SLOW_ABOVE_HALF_LOAD(false) {
        @Override
        Fault fault(Call call) {
            return call.loadShare() > HALF ? Fault.SLOW : Fault.NONE;
        }
    },
    ERRORS_ON_ONE_ROUTE(false) {
        @Override
        Fault fault(Call call) {
            return call.rareRoute() && call.chance() < OFTEN ? Fault.ERROR : Fault.NONE;
        }
    };

    private static final double BAD_MINUTE = 5;
    private static final double BAD_MINUTE_ERRORS = 0.4;
    private static final double OFTEN = 0.5;
    private static final double SELDOM = 0.1;
    private static final double LATE_MINUTE = 10;
    private static final double HALF = 0.5;

    private final boolean mGood;

    RolloutScenario(boolean good) {
        mGood = good;
    }

    boolean good() {
        return mGood;
    }

    /** Returns what the new version does wrong with the call. */
    abstract Fault fault(Call call);

    /** Returns the ratio of calls that fail at every version in the minute. */
    double fleetErrors(double minute) {
        return 0;
    }

    /** What is wrong with an answer. */
    enum Fault {
        NONE,
        ERROR,
        SLOW
    }

    /**
     * A call to the new version.
     *
     * @param minute minutes since the rollout began
     * @param loadShare the new version's share of the calls of the last second
     * @param rareRoute whether it is one of the calls on the rare route, one in five
     * @param chance uniform from 0 to 1
     */
    record Call(double minute, double loadShare, boolean rareRoute, double chance) {}
}
