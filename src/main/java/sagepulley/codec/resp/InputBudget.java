package sagepulley.codec.resp;

/** Decides when a {@link RespDecoder} decodes its input, and how much of it may be kept. */
public interface InputBudget {
    /** A budget without limits. */
    InputBudget UNLIMITED =
            new InputBudget() {
                @Override
                public boolean mayDecode() {
                    return true;
                }

                @Override
                public boolean reserve(int bytes) {
                    return true;
                }

                @Override
                public void reserveWaiting(int bytes) {}

                @Override
                public void release(int bytes) {}
            };

    /**
     * Returns whether the next value may be decoded. If not, input waits: the budget's owner turns
     * off auto-read, and calls {@link RespDecoder#decodeWaiting} once there is room.
     */
    boolean mayDecode();

    /** Called when the input at hand is decoded as far as it may be. */
    default void decoded() {}

    /**
     * Counts bytes that were read from the channel, after what they complete was passed on.
     *
     * @param drained whether the read left room in its buffer, so that nothing more had arrived
     */
    default void received(int bytes, boolean drained) {}

    /**
     * Reserves memory for a value received in part. If it returns false, the decoder discards the
     * value's bytes.
     */
    boolean reserve(int bytes);

    /** Reserves memory for input that was read and has to wait. */
    void reserveWaiting(int bytes);

    /** Returns the memory of input that waited. */
    default void releaseWaiting(int bytes) {
        release(bytes);
    }

    /** Returns the memory of a value received in part. */
    void release(int bytes);
}
