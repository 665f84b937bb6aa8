package sagepulley.stored;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Lists the key paths of a JSON or CBOR tree, sorted; the elements of an array share a path. */
public final class KeyPaths {
    private KeyPaths() {}

    /** Returns one path per line, such as {@code nodes[].line.host}. */
    public static String of(JsonNode tree) {
        Set<String> paths = new TreeSet<>();
        add("", tree, paths);
        return String.join("\n", paths) + "\n";
    }

    private static void add(String path, JsonNode node, Set<String> paths) {
        if (node.isObject() && !node.isEmpty()) {
            for (Map.Entry<String, JsonNode> field : node.properties()) {
                add((path.isEmpty() ? "" : path + ".") + field.getKey(), field.getValue(), paths);
            }
        } else if (node.isArray() && !node.isEmpty()) {
            node.forEach(item -> add(path + "[]", item, paths));
        } else {
            paths.add(path);
        }
    }
}
