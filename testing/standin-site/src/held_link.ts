/**
 * Stand-in for the network path to a VM that may be frozen. While the link is
 * held, bytes and the end of a connection wait, and are delivered on release.
 * Bytes whose sender resets the connection meanwhile are lost, as in a network.
 */

import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { listenOnLoopback, readLoopbackAddress } from "./listen_on_loopback.ts";

interface LinkConnection {
  readonly sender: Socket;
  readonly receiver: Socket;
  readonly heldChunks: Buffer[];
  hasSenderEnded: boolean;
}

export class HeldLink {
  readonly #server: Server;
  readonly #connections = new Set<LinkConnection>();
  #isHeld = false;

  private constructor(receiverAddress: string) {
    const [host, port] = receiverAddress.split(":");
    this.#server = createServer(
      { allowHalfOpen: true },
      (sender) => this.#open(sender, connect(Number(port), host)),
    );
  }

  /** Opens a link to `receiverAddress`, given as `IP:PORT`. */
  static async create(receiverAddress: string): Promise<HeldLink> {
    const link = new HeldLink(receiverAddress);
    await listenOnLoopback(link.#server);
    return link;
  }

  get address(): string {
    return readLoopbackAddress(this.#server);
  }

  /** Connections that the sender has neither ended nor reset. */
  get openCount(): number {
    return [...this.#connections].filter(({ hasSenderEnded }) =>
      !hasSenderEnded
    ).length;
  }

  get heldBytes(): number {
    return [...this.#connections].flatMap(({ heldChunks }) => heldChunks)
      .reduce((sum, { length }) => sum + length, 0);
  }

  hold(): void {
    this.#isHeld = true;
  }

  /** Delivers what was held up, and forwards further bytes at once. */
  release(): void {
    this.#isHeld = false;
    for (const connection of this.#connections) deliver(connection);
  }

  async close(): Promise<void> {
    for (const connection of this.#connections) this.#drop(connection);
    this.#server.close();
    await once(this.#server, "close");
  }

  #open(sender: Socket, receiver: Socket): void {
    const connection: LinkConnection = {
      sender,
      receiver,
      heldChunks: [],
      hasSenderEnded: false,
    };
    this.#connections.add(connection);
    sender.on("data", (chunk: Buffer) => {
      connection.heldChunks.push(chunk);
      if (!this.#isHeld) deliver(connection);
    });
    sender.on("end", () => {
      connection.hasSenderEnded = true;
      if (!this.#isHeld) deliver(connection);
    });
    sender.on("error", () => this.#drop(connection));
    receiver.on("data", (chunk: Buffer) => sender.write(chunk));
    receiver.on("error", () => this.#drop(connection));
    receiver.on("close", () => this.#drop(connection));
  }

  #drop(connection: LinkConnection): void {
    this.#connections.delete(connection);
    connection.sender.destroy();
    connection.receiver.destroy();
  }
}

function deliver(
  { receiver, heldChunks, hasSenderEnded }: LinkConnection,
): void {
  for (const chunk of heldChunks.splice(0)) receiver.write(chunk);
  if (hasSenderEnded) receiver.end();
}
