package org.lovagerack.node;

import org.lovagerack.fleet.store.RowKey;
import org.lovagerack.fleet.store.StoredRow;
import org.lovagerack.fleet.store.TableFollower;

/** Passes everything on, and tells when the table has been read. */
final class LoadedListener implements TableFollower.Listener {

  private final TableFollower.Listener next;
  private final Runnable onLoaded;

  LoadedListener(TableFollower.Listener next, Runnable onLoaded) {
    this.next = next;
    this.onLoaded = onLoaded;
  }

  @Override
  public void changed(StoredRow row) {
    next.changed(row);
  }

  @Override
  public void removed(RowKey key) {
    next.removed(key);
  }

  @Override
  public void loaded() {
    next.loaded();
    onLoaded.run();
  }
}
