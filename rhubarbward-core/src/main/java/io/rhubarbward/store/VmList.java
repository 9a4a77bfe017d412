package io.rhubarbward.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of VMs, which lags behind the real state by seconds. */
public interface VmList {
    /** Reads the platform's current list. */
    CompletionStage<Either<PlatformFailure, List<Vm>>> read();
}
