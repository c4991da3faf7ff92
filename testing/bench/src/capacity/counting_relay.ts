/** TCP relay on loopback that counts bytes and HTTP calls. */

import { type AddressInfo, connect, createServer, type Server } from "node:net";

const REQUEST_LINE = /(?:GET|POST) \/[^ ]* HTTP\/1\.1\r\n/g;

export interface RelayCounts {
  readonly calls: number;
  /** In both directions, HTTP headers included. */
  readonly bytes: number;
}

export class CountingRelay {
  readonly #server: Server;
  #calls = 0;
  #bytes = 0;

  private constructor(targetPort: number) {
    this.#server = createServer((incoming) => {
      const outgoing = connect(targetPort, "127.0.0.1");
      incoming.on("data", (chunk: Buffer) => {
        this.#calls += chunk.toString("latin1").match(REQUEST_LINE)?.length ??
          0;
        this.#bytes += chunk.length;
        outgoing.write(chunk);
      });
      outgoing.on("data", (chunk: Buffer) => {
        this.#bytes += chunk.length;
        incoming.write(chunk);
      });
      incoming.on("close", () => outgoing.destroy());
      outgoing.on("close", () => incoming.destroy());
      incoming.on("error", () => outgoing.destroy());
      outgoing.on("error", () => incoming.destroy());
    });
  }

  static start(targetPort: number): Promise<CountingRelay> {
    const relay = new CountingRelay(targetPort);
    return new Promise((resolve) => {
      relay.#server.listen(0, "127.0.0.1", () => resolve(relay));
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get counts(): RelayCounts {
    return { calls: this.#calls, bytes: this.#bytes };
  }

  close(): void {
    this.#server.close();
  }
}
