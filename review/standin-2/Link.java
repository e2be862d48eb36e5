import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * A path to one loopback port that can be cut silently. Bytes that are sent during a cut arrive
 * after it, when TCP would have sent them again: 0.2 s after the first time, then after twice as
 * long each time. They are lost if their sender closes the connection before that.
 */
final class Link {

  private static final long FIRST_RETRANSMISSION_MILLIS = 200;

  private final ServerSocket listener;
  private final int target;
  private volatile boolean cut;

  Link(int target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 256, InetAddress.getByName(Trial.LOCALHOST));
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void cut() {
    cut = true;
  }

  void heal() {
    cut = false;
  }

  private void accept() {
    while (true) {
      try {
        Socket near = listener.accept();
        Thread.ofVirtual().start(() -> connect(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket near) {
    try {
      Socket far = new Socket(Trial.LOCALHOST, target);
      near.setTcpNoDelay(true);
      far.setTcpNoDelay(true);
      Thread.ofVirtual().start(() -> pump(near, far));
      pump(far, near);
    } catch (IOException e) {
      close(near);
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[65_536];
    try {
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      while (true) {
        int length = input.read(buffer);
        if (length < 0) {
          break;
        }
        long pause = FIRST_RETRANSMISSION_MILLIS;
        while (cut) {
          Trial.sleep(pause);
          pause *= 2;
        }
        if (pause > FIRST_RETRANSMISSION_MILLIS) {
          length = length == buffer.length ? length : length + moreUnlessClosed(from, buffer, length);
        }
        output.write(buffer, 0, length);
        output.flush();
      }
    } catch (IOException e) {
      // Either side has closed the connection.
    }
    close(from);
    close(to);
  }

  /** Reads one byte more if there is one; fails if the sender has closed the connection. */
  private static int moreUnlessClosed(Socket from, byte[] buffer, int offset) throws IOException {
    from.setSoTimeout(1);
    try {
      int length = from.getInputStream().read(buffer, offset, 1);
      if (length < 0) {
        throw new IOException("the sender has closed the connection");
      }
      return length;
    } catch (SocketTimeoutException e) {
      return 0;
    } finally {
      from.setSoTimeout(0);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The socket is closed already.
    }
    try {
      socket.close();
    } catch (IOException e) {
      // There is nothing left to close.
    }
  }
}
