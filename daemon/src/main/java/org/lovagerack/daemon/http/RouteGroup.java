package org.lovagerack.daemon.http;

import io.vertx.ext.web.Router;

/** A group of HTTP routes. */
public interface RouteGroup {

  /** Adds the routes to the router. */
  void addTo(Router router);
}
