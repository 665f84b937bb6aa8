package sagepulley.frontend.nbd;

import sagepulley.codec.nbd.NbdConstants;
import sagepulley.codec.nbd.NbdRequest;

/**
 * Validates requests of the transmission phase against the NBD protocol ('Request types', 'Command
 * flags', 'Block size constraints').
 */
final class RequestValidator {
    private static final int KNOWN_FLAGS =
            NbdConstants.CMD_FLAG_FUA
                    | NbdConstants.CMD_FLAG_NO_HOLE
                    | NbdConstants.CMD_FLAG_DF
                    | NbdConstants.CMD_FLAG_REQ_ONE;

    private final ExportedVolume volume;
    private final boolean structured;
    private final boolean baseAllocation;

    /**
     * @param structured whether structured replies were negotiated
     * @param baseAllocation whether the metadata context base:allocation was negotiated
     */
    RequestValidator(ExportedVolume volume, boolean structured, boolean baseAllocation) {
        this.volume = volume;
        this.structured = structured;
        this.baseAllocation = baseAllocation;
    }

    /** Returns the error of an invalid request, or null for a valid one. */
    PendingRequest.RequestError validate(NbdRequest request) {
        PendingRequest.RequestError error = validateFlags(request.command(), request.flags());
        if (error == null && request.command() == NbdConstants.CMD_FLUSH) {
            return request.offset() == 0 && request.length() == 0
                    ? null
                    : invalid(
                            "flush with offset "
                                    + Long.toUnsignedString(request.offset())
                                    + " and length "
                                    + Integer.toUnsignedString(request.length())
                                    + ", expected 0 and 0");
        }
        if (error == null) {
            error = validateAccess(request.command());
        }
        if (error == null) {
            error =
                    validateRange(
                            request.command(),
                            request.offset(),
                            Integer.toUnsignedLong(request.length()));
        }
        if (error == null && request.admitted() == 0) {
            // The decoder discarded the payload because it exceeds the maximum length.
            error = tooLong(NbdConstants.EINVAL);
        }
        return error;
    }

    private PendingRequest.RequestError validateFlags(int command, int flags) {
        if (command > NbdConstants.CMD_BLOCK_STATUS || command == NbdConstants.CMD_CACHE) {
            return invalid("command " + command + " is not supported");
        }
        if ((flags & ~KNOWN_FLAGS) != 0) {
            return invalid("command flags 0x" + Integer.toHexString(flags) + " are not supported");
        }
        if ((flags & NbdConstants.CMD_FLAG_DF) != 0
                && !(structured && command == NbdConstants.CMD_READ)) {
            return invalid("flag DF is valid only for reads with structured replies");
        }
        boolean noHole = (flags & NbdConstants.CMD_FLAG_NO_HOLE) != 0;
        boolean reqOne = (flags & NbdConstants.CMD_FLAG_REQ_ONE) != 0;
        if ((noHole && command != NbdConstants.CMD_WRITE_ZEROES)
                || (reqOne && command != NbdConstants.CMD_BLOCK_STATUS)) {
            return invalid(
                    "command flags 0x"
                            + Integer.toHexString(flags)
                            + " are not valid for command "
                            + command);
        }
        return null;
    }

    private PendingRequest.RequestError validateAccess(int command) {
        boolean modifiesData =
                command == NbdConstants.CMD_WRITE
                        || command == NbdConstants.CMD_TRIM
                        || command == NbdConstants.CMD_WRITE_ZEROES;
        if (modifiesData && volume.settings.readOnly()) {
            return error(NbdConstants.EPERM, "the export is read-only");
        }
        if (command == NbdConstants.CMD_BLOCK_STATUS && !baseAllocation) {
            return invalid("metadata context base:allocation was not negotiated");
        }
        return null;
    }

    private PendingRequest.RequestError validateRange(int command, long offset, long length) {
        long size = volume.settings.sizeBytes();
        if (length == 0) {
            return invalid("request length is 0");
        }
        if (offset < 0 || offset > size || length > size - offset) {
            boolean needsSpace =
                    command == NbdConstants.CMD_WRITE || command == NbdConstants.CMD_WRITE_ZEROES;
            return error(
                    needsSpace ? NbdConstants.ENOSPC : NbdConstants.EINVAL,
                    "offset "
                            + Long.toUnsignedString(offset)
                            + " and length "
                            + length
                            + " exceed the export size of "
                            + size
                            + " bytes");
        }
        int minBlockSize = volume.export.minBlockSize();
        if ((offset | length) % minBlockSize != 0) {
            return invalid(
                    "offset "
                            + offset
                            + " and length "
                            + length
                            + " must be multiples of "
                            + minBlockSize
                            + " bytes");
        }
        if (length > volume.export.maxBlockSize()) {
            if (command == NbdConstants.CMD_READ) {
                return tooLong(NbdConstants.EOVERFLOW);
            }
            if (command == NbdConstants.CMD_WRITE) {
                return tooLong(NbdConstants.EINVAL);
            }
        }
        return null;
    }

    private PendingRequest.RequestError tooLong(int error) {
        return error(
                error,
                "request length exceeds the maximum of " + volume.export.maxBlockSize() + " bytes");
    }

    private static PendingRequest.RequestError invalid(String message) {
        return error(NbdConstants.EINVAL, message);
    }

    private static PendingRequest.RequestError error(int error, String message) {
        return new PendingRequest.RequestError(PendingRequest.NO_OFFSET, error, message);
    }
}
