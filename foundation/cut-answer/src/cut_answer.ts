/**
 * Ends an HTTP answer in the middle. What was written before is still sent, and
 * the connection then ends without the mark that completes an answer. Where the
 * connection itself is that mark, as for HTTP/1.0, it is reset.
 */

import type { ServerResponse } from "node:http";

/** Time for a caller to read what was written; its connection is then reset. */
const FLUSH_TIMEOUT_MS = 2_000;

export function cutAnswer(response: ServerResponse): void {
  const { socket } = response;
  // An answer that waits behind another one on its connection has no socket.
  if (socket === null || socket.destroyed) {
    response.destroy();
    return;
  }
  const timer = setTimeout(() => socket.resetAndDestroy(), FLUSH_TIMEOUT_MS);
  socket.once("close", () => clearTimeout(timer));
  const isEndMarked = response.chunkedEncoding ||
    response.hasHeader("content-length");
  if (isEndMarked) socket.destroySoon();
  else socket.write("", () => socket.resetAndDestroy());
}
