package sagepulley;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import sagepulley.cli.Commands;
import sagepulley.simhost.MalformedFrame;
import sagepulley.simhost.SimHost;

/** Picks the command; simhost starts without anything of the others. */
public final class Main {
    private Main() {
    }

    public static void main(String[] words) {
        if (words.length != 1 || !words[0].equals("simhost")) {
            System.exit(Commands.run(words));
        }
        try {
            new SimHost(new FileInputStream(FileDescriptor.in),
                    new FileOutputStream(FileDescriptor.out)).run();
        } catch (MalformedFrame e) {
            System.err.println("sagepulley: malformed frame: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("sagepulley: the wire failed: " + e.getMessage());
            System.exit(1);
        }
    }
}
