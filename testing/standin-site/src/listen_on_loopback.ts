/** Binding of the stand-ins' servers to a free port of the loopback address. */

import { once } from "node:events";
import type { AddressInfo, Server } from "node:net";

const LOOPBACK = "127.0.0.1";

export async function listenOnLoopback(server: Server): Promise<void> {
  server.listen(0, LOOPBACK);
  await once(server, "listening");
}

/** Returns the address of a listening server as `IP:PORT`. */
export function readLoopbackAddress(server: Server): string {
  return `${LOOPBACK}:${(server.address() as AddressInfo).port}`;
}
