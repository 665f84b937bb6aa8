package sagepulley.frontend.resp;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;

/** Sizes each read by the room that is left for input, so that no more is read than can be kept. */
final class AccountedReceiveAllocator extends DefaultMaxMessagesRecvByteBufAllocator {
    private static final int MAX_READ_BYTES = 65_536;

    /** Read size without room: enough to reject what arrives. */
    private static final int MIN_READ_BYTES = 512;

    private final ClientMemory memory;

    AccountedReceiveAllocator(ClientMemory memory) {
        this.memory = memory;
    }

    /** The overridden method has no other return type. */
    @Override
    @SuppressWarnings("deprecation")
    public Handle newHandle() {
        return new MaxMessageHandle() {
            @Override
            public int guess() {
                return (int)
                        Math.max(
                                MIN_READ_BYTES,
                                Math.min(MAX_READ_BYTES, memory.availableInputBytes()));
            }
        };
    }
}
