/** Counts the bytes that a pool's connections receive. */

import type { Socket } from "node:net";
import type { HttpConnector } from "./http_pool.ts";
import type { TransferMeter } from "./transfer_meter.ts";

/** Returns a connector that connects as `connector` and meters each socket. */
export function meterConnector(
  connector: HttpConnector,
  meter: TransferMeter,
): HttpConnector {
  return (options, callback) => {
    const metered: typeof callback = (...result) => {
      const [error, socket] = result;
      if (error === null) meterSocket(socket, meter);
      callback(...result);
    };
    return connector(options, metered);
  };
}

/** undici takes the bytes of a socket by `read`, and listens for `readable`. */
function meterSocket(socket: Socket, meter: TransferMeter): void {
  const read = socket.read.bind(socket);
  socket.read = (...size) => {
    const bytes = read(...size) as Buffer | null;
    if (bytes !== null) meter.recordReceived(bytes.length);
    return bytes;
  };
}
