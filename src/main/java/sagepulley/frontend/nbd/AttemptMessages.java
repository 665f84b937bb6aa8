package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import sagepulley.model.Attempt;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.upstream.frame.StoreMessages;

/** Maps attempts to messages of the store protocol, and answers to the scheduler's model. */
final class AttemptMessages {
    private AttemptMessages() {}

    /**
     * Returns the message that carries an attempt to its node.
     *
     * @param extentMustExist whether a node that does not have the extent must refuse to execute it
     */
    static StoreMessages.Send send(RequestPart part, Attempt attempt, boolean extentMustExist) {
        Operation operation = part.operation;
        return new StoreMessages.Send(
                part.kind,
                operation.trafficClass.index(),
                part.request.isDurable(),
                operation.trafficClass.idempotency().ordinal(),
                operation.id,
                attempt.number,
                part.request.volume.settings.id(),
                part.extent,
                part.offsetInExtent,
                part.length,
                (float) operation.units,
                part.expectedNodeStart(),
                extentMustExist);
    }

    /** Records the load that a node reported with its answer. */
    static void recordLoad(Attempt attempt, StoreMessages.Answer answer) {
        // On the wire, 0 means that no value is reported.
        attempt.planUsagePercent = answer.planUsage() == 0 ? Double.NaN : answer.planUsage() - 1;
        attempt.otherGatewaysUnits = answer.otherGatewaysUnits();
        attempt.report = loadReport(answer.loadReport());
    }

    /** Returns the values of a load report, or null if it is empty. */
    static double[] loadReport(float[] loadReport) {
        if (loadReport.length == 0) {
            return null;
        }
        double[] values = new double[loadReport.length];
        for (int i = 0; i < loadReport.length; i++) {
            values[i] = loadReport[i];
        }
        return values;
    }

    /**
     * Returns the outcome of an answered attempt. Adds the data of a served read to its request and
     * releases any other payload. A served answer whose payload has the wrong length counts as
     * failed.
     */
    static Outcome takeOutcome(RequestPart part, StoreMessages.Code code, ByteBuf payload) {
        Outcome outcome = outcome(code);
        int expectedBytes = part.kind == StoreMessages.Kind.READ ? part.length : 0;
        if (outcome == Outcome.SERVED && payload.readableBytes() != expectedBytes) {
            outcome = Outcome.FAILED;
        }
        if (outcome == Outcome.SERVED && !part.operation.ended && expectedBytes > 0) {
            part.request.readChunks.add(
                    new PendingRequest.ReadChunk(part.exportOffset, part.length, payload));
        } else {
            payload.release();
        }
        return outcome;
    }

    private static Outcome outcome(StoreMessages.Code code) {
        return switch (code) {
            case SERVED -> Outcome.SERVED;
            case FAILED -> Outcome.FAILED;
            case FULL, DRAINING -> Outcome.REJECTED;
            // A write with a stale token was not executed, and the node is not at fault.
            case NOT_EXECUTED, STALE_WRITE_TOKEN -> Outcome.NOT_EXECUTED;
            case CANCELLED -> Outcome.CANCELLED;
        };
    }
}
