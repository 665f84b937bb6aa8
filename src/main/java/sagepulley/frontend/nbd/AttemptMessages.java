package sagepulley.frontend.nbd;

import io.netty.buffer.ByteBuf;
import sagepulley.model.Attempt;
import sagepulley.model.Operation;
import sagepulley.model.Outcome;
import sagepulley.upstream.frame.StoreMessages;

/** Maps attempts to messages of the store protocol, and answers back to the model's terms. */
final class AttemptMessages {
    private AttemptMessages() {}

    /**
     * The message that carries an attempt to its node.
     *
     * @param extentMustExist whether a node without the extent must not run it
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
                part.expectedNodeStart,
                extentMustExist);
    }

    /** Records what an answer tells of the node's load. */
    static void recordLoad(Attempt attempt, StoreMessages.Answer answer) {
        // On the wire, 0 stands for no figure.
        attempt.planUsagePercent = answer.planUsage() == 0 ? Double.NaN : answer.planUsage() - 1;
        attempt.otherGatewaysUnits = answer.otherGatewaysUnits();
        attempt.report = loadReport(answer.loadReport());
    }

    /** The values of a load report; null if it has none. */
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
     * The outcome of an answered attempt. The data of a read goes to its request, any other payload
     * is released; a read of the wrong length has failed.
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
            // A write whose token went to another gateway never ran, and the node is not to blame.
            case NOT_EXECUTED, STALE_WRITE_TOKEN -> Outcome.NOT_EXECUTED;
            case CANCELLED -> Outcome.CANCELLED;
        };
    }
}
