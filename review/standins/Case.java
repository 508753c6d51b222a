package review;

import java.nio.file.Path;

/** Runs one case and turns its verdict into an exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
abstract class Case {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final Path root = Path.of(System.getProperty("review.root"));
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Store store;
    Mesh mesh;

    abstract int run() throws Exception;

    static void main(final Case instance) {
        int code = NOT_RUN;
        try (Record record = new Record(Path.of(System.getProperty("review.record")))) {
            instance.record = record;
            try (Store store = new Store("127.0.0.1");
                    Mesh mesh = new Mesh(instance.root, record, store.address())) {
                instance.store = store;
                instance.mesh = mesh;
                record.say("trouble=" + instance.trouble);
                code = instance.run();
            } catch (Exception exception) {
                record.say("not run: " + exception);
                exception.printStackTrace();
                code = NOT_RUN;
            }
            record.say("exit " + code);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }
}
