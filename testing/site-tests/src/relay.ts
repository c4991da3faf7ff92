/**
 * A TCP relay whose open connections can fall silent, one way or both, while
 * neither end is told and new connections work.
 */

import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** Which way nothing passes any longer. */
export type Silence = "both" | "toServer" | "toClient";

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
  silence: Silence | undefined;
}

export class Relay {
  readonly #pairs = new Set<Pair>();
  readonly #listener;
  readonly #target: URL;

  private constructor(targetUrl: string) {
    this.#target = new URL(targetUrl);
    this.#listener = createServer((client) => this.#join(client));
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

  /** Of the connections that are open now; says how many those are. */
  silenceOpen(silence: Silence): number {
    for (const pair of this.#pairs) pair.silence = silence;
    return this.#pairs.size;
  }

  async close(): Promise<void> {
    for (const { client, server } of this.#pairs) {
      client.destroy();
      server.destroy();
    }
    await new Promise((resolve) => this.#listener.close(resolve));
  }

  #join(client: Socket): void {
    const { hostname, port } = this.#target;
    const server = connect(Number(port), hostname);
    const pair: Pair = { client, server, silence: undefined };
    this.#pairs.add(pair);
    client.on("data", (part) => {
      if (isOpen(pair, "toServer")) server.write(part);
    });
    server.on("data", (part) => {
      if (isOpen(pair, "toClient")) client.write(part);
    });
    for (const socket of [client, server]) {
      socket.on("error", () => {});
      socket.on("close", () => this.#part(pair));
    }
  }

  /** The end of a silent connection does not come through either. */
  #part(pair: Pair): void {
    if (pair.silence !== undefined) return;
    this.#pairs.delete(pair);
    pair.client.destroy();
    pair.server.destroy();
  }
}

function isOpen({ silence }: Pair, way: Silence): boolean {
  return silence === undefined || (silence !== "both" && silence !== way);
}
