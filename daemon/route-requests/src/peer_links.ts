/**
 * Connections to the agents and entries of a view. A link whose connection may
 * be unresponsive is reconnected: later messages use a new connection, while
 * messages in flight finish on the old one. A peer that restarts has a new
 * incarnation, and its old link is removed.
 */

import type { HttpConnector } from "@dandelionbank/open-http";
import { PeerConnection } from "@dandelionbank/send-attempts";

export interface PeerLinksOptions {
  readonly peerSecret: string;
  readonly connector?: HttpConnector;
}

export interface PeerAddress {
  /** An agent's target, or an entry's incarnation. */
  readonly name: string;
  readonly incarnation: string;
  readonly peerUrl: string;
}

interface Link extends PeerAddress {
  /** Opened at the first message, since an entry uses few of a fleet's links. */
  connection: PeerConnection | undefined;
}

export class PeerLinks {
  readonly #options: PeerLinksOptions;
  #links = new Map<string, Link>();

  private constructor(options: PeerLinksOptions) {
    this.#options = options;
  }

  static create(options: PeerLinksOptions): PeerLinks {
    return new PeerLinks(options);
  }

  /** Replaces all addresses; returns the removed or superseded incarnations. */
  replaceAll(addresses: readonly PeerAddress[]): readonly PeerAddress[] {
    const previous = this.#links;
    this.#links = new Map(
      addresses.map((
        address,
      ) => [address.name, this.#reuseOrCreate(previous, address)]),
    );
    const removed = [...previous.values()].filter((link) =>
      this.#links.get(link.name)?.incarnation !== link.incarnation
    );
    for (const link of removed) void link.connection?.drain();
    return removed;
  }

  incarnationOf(name: string): string | undefined {
    return this.#links.get(name)?.incarnation;
  }

  connectionTo(name: string, incarnation: string): PeerConnection | undefined {
    const link = this.#links.get(name);
    if (link?.incarnation !== incarnation) return undefined;
    link.connection ??= this.#open(link);
    return link.connection;
  }

  reconnect(name: string): void {
    const link = this.#links.get(name);
    if (link === undefined) return;
    void link.connection?.drain();
    link.connection = undefined;
  }

  async close(): Promise<void> {
    const links = [...this.#links.values()];
    await Promise.all(links.map((link) => link.connection?.close()));
  }

  #reuseOrCreate(
    previous: ReadonlyMap<string, Link>,
    address: PeerAddress,
  ): Link {
    const link = previous.get(address.name);
    const isSame = link?.incarnation === address.incarnation &&
      link.peerUrl === address.peerUrl;
    if (link !== undefined && isSame) return link;
    return { ...address, connection: undefined };
  }

  #open({ peerUrl }: PeerAddress): PeerConnection {
    return PeerConnection.create({ ...this.#options, peerUrl });
  }
}
