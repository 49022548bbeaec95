package review2;

/** Daemon threads whose input and output errors end them silently: the other side has gone. */
final class Threads {
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (java.io.IOException e) {
                        // The other side has ended the connection.
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
