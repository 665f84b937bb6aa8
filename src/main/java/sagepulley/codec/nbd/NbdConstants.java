package sagepulley.codec.nbd;

/** Constants of the NBD protocol text, with its names ('Values'). */
public final class NbdConstants {
    public static final long NBDMAGIC = 0x4e42444d41474943L;
    public static final long IHAVEOPT = 0x49484156454f5054L;
    public static final long OPTION_REPLY_MAGIC = 0x3e889045565a9L;
    public static final int REQUEST_MAGIC = 0x25609513;
    public static final int SIMPLE_REPLY_MAGIC = 0x67446698;
    public static final int STRUCTURED_REPLY_MAGIC = 0x668e33ef;

    public static final int FLAG_FIXED_NEWSTYLE = 1;
    public static final int FLAG_NO_ZEROES = 2;

    public static final int OPT_EXPORT_NAME = 1;
    public static final int OPT_ABORT = 2;
    public static final int OPT_LIST = 3;
    public static final int OPT_STARTTLS = 5;
    public static final int OPT_INFO = 6;
    public static final int OPT_GO = 7;
    public static final int OPT_STRUCTURED_REPLY = 8;
    public static final int OPT_LIST_META_CONTEXT = 9;
    public static final int OPT_SET_META_CONTEXT = 10;

    public static final int REP_ACK = 1;
    public static final int REP_SERVER = 2;
    public static final int REP_INFO = 3;
    public static final int REP_META_CONTEXT = 4;
    public static final int REP_ERR_UNSUP = 0x80000001;
    public static final int REP_ERR_POLICY = 0x80000002;
    public static final int REP_ERR_INVALID = 0x80000003;
    public static final int REP_ERR_UNKNOWN = 0x80000006;
    public static final int REP_ERR_SHUTDOWN = 0x80000007;
    public static final int REP_ERR_TOO_BIG = 0x80000009;

    public static final int INFO_EXPORT = 0;
    public static final int INFO_NAME = 1;
    public static final int INFO_DESCRIPTION = 2;
    public static final int INFO_BLOCK_SIZE = 3;

    public static final int HAS_FLAGS = 1;
    public static final int READ_ONLY = 1 << 1;
    public static final int SEND_FLUSH = 1 << 2;
    public static final int SEND_FUA = 1 << 3;
    public static final int SEND_TRIM = 1 << 5;
    public static final int SEND_WRITE_ZEROES = 1 << 6;
    public static final int SEND_DF = 1 << 7;
    public static final int CAN_MULTI_CONN = 1 << 8;

    public static final int CMD_READ = 0;
    public static final int CMD_WRITE = 1;
    public static final int CMD_DISC = 2;
    public static final int CMD_FLUSH = 3;
    public static final int CMD_TRIM = 4;
    public static final int CMD_CACHE = 5;
    public static final int CMD_WRITE_ZEROES = 6;
    public static final int CMD_BLOCK_STATUS = 7;

    public static final int CMD_FLAG_FUA = 1;
    public static final int CMD_FLAG_NO_HOLE = 1 << 1;
    public static final int CMD_FLAG_DF = 1 << 2;
    public static final int CMD_FLAG_REQ_ONE = 1 << 3;
    public static final int CMD_FLAG_FAST_ZERO = 1 << 4;

    public static final int CHUNK_DONE = 1;
    public static final int CHUNK_NONE = 0;
    public static final int CHUNK_OFFSET_DATA = 1;
    public static final int CHUNK_OFFSET_HOLE = 2;
    public static final int CHUNK_BLOCK_STATUS = 5;
    public static final int CHUNK_ERROR = 0x8001;
    public static final int CHUNK_ERROR_OFFSET = 0x8002;

    public static final int EPERM = 1;
    public static final int EIO = 5;
    public static final int ENOMEM = 12;
    public static final int EINVAL = 22;
    public static final int ENOSPC = 28;
    public static final int EOVERFLOW = 75;
    public static final int ENOTSUP = 95;
    public static final int ESHUTDOWN = 108;

    /** The only supported metadata context. */
    public static final String BASE_ALLOCATION = "base:allocation";

    /** The id of base:allocation that the server assigns and sends with each block status. */
    public static final int BASE_ALLOCATION_ID = 1;

    public static final int STATE_HOLE = 1;
    public static final int STATE_ZERO = 2;

    /** The maximum length in bytes of a string in the protocol. */
    public static final int MAX_STRING_BYTES = 4096;

    private NbdConstants() {}
}
