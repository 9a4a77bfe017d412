package io.rhubarbward.move;

/** The measures by which versions are compared: errors and two latencies. */
enum QualitySignal {
    ERRORS(RolloutReason.ERRORS) {
        @Override
        int calls(VersionFigures figures) {
            return figures.calls();
        }

        @Override
        int bad(VersionFigures figures) {
            return figures.failures();
        }

        @Override
        double acceptedRatio(JudgementRule rule) {
            return rule.errorRatio();
        }
    },
    FIRST_TOKEN(RolloutReason.FIRST_TOKEN) {
        @Override
        int calls(VersionFigures figures) {
            return figures.timed();
        }

        @Override
        int bad(VersionFigures figures) {
            return figures.slowFirst();
        }

        @Override
        double acceptedRatio(JudgementRule rule) {
            return rule.slowRatio();
        }
    },
    BETWEEN_TOKENS(RolloutReason.BETWEEN_TOKENS) {
        @Override
        int calls(VersionFigures figures) {
            return figures.timed();
        }

        @Override
        int bad(VersionFigures figures) {
            return figures.slowBetween();
        }

        @Override
        double acceptedRatio(JudgementRule rule) {
            return rule.slowRatio();
        }
    };

    private final RolloutReason mReason;

    QualitySignal(RolloutReason reason) {
        mReason = reason;
    }

    abstract int calls(VersionFigures figures);

    abstract int bad(VersionFigures figures);

    abstract double acceptedRatio(JudgementRule rule);

    RolloutReason reason() {
        return mReason;
    }
}
