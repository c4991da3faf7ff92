/**
 * TCP relay for tests of failed links. It can block its open connections, in one or both directions,
 * without closing them. New connections still work.
 */

import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** Direction in which a connection forwards no more data. */
export type BlockedDirection = "both" | "toServer" | "toClient";

interface ConnectionPair {
  readonly client: Socket;
  readonly server: Socket;
  blocked: BlockedDirection | undefined;
}

export class Relay {
  readonly #pairs = new Set<ConnectionPair>();
  readonly #listener;
  readonly #target: URL;

  private constructor(targetUrl: string) {
    this.#target = new URL(targetUrl);
    this.#listener = createServer((client) => this.#connectPair(client));
  }

  static async start(targetUrl: string): Promise<Relay> {
    const relay = new Relay(targetUrl);
    await new Promise<void>((resolve) =>
      relay.#listener.listen(0, "127.0.0.1", resolve)
    );
    return relay;
  }

  get url(): string {
    const { port } = this.#listener.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  get connectionCount(): number {
    return this.#pairs.size;
  }

  /** Blocks the connections that are open now and returns their number. */
  blockOpenConnections(direction: BlockedDirection): number {
    for (const pair of this.#pairs) pair.blocked = direction;
    return this.#pairs.size;
  }

  async close(): Promise<void> {
    for (const { client, server } of this.#pairs) {
      client.destroy();
      server.destroy();
    }
    await new Promise((resolve) => this.#listener.close(resolve));
  }

  #connectPair(client: Socket): void {
    const { hostname, port } = this.#target;
    const server = connect(Number(port), hostname);
    const pair: ConnectionPair = { client, server, blocked: undefined };
    this.#pairs.add(pair);
    client.on("data", (chunk) => {
      if (isForwarding(pair, "toServer")) server.write(chunk);
    });
    server.on("data", (chunk) => {
      if (isForwarding(pair, "toClient")) client.write(chunk);
    });
    for (const socket of [client, server]) {
      socket.on("error", () => {});
      socket.on("close", () => this.#closePair(pair));
    }
  }

  /** Closes both ends, unless the connection is blocked: that hides its end too. */
  #closePair(pair: ConnectionPair): void {
    if (pair.blocked !== undefined) return;
    this.#pairs.delete(pair);
    pair.client.destroy();
    pair.server.destroy();
  }
}

function isForwarding(
  { blocked }: ConnectionPair,
  direction: BlockedDirection,
): boolean {
  return blocked === undefined || (blocked !== "both" && blocked !== direction);
}
