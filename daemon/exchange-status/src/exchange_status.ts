/**
 * Sends this entry's status to the others in a datagram, and takes theirs. A
 * datagram that is lost is made good by the next one. An entry that starts
 * registers once in the store and reads there who else has; from then on the
 * datagrams themselves tell where everyone is.
 */

import {
  createFollowedEntries,
  type EntryStatus,
  type FollowedEntries,
  listLiveEntries,
  noteEntry,
} from "@dandelionbank/follow-entries";
import type { Logger } from "@dandelionbank/log-events";
import { parseAddress } from "@dandelionbank/platform-adapter";
import { parseStatus } from "./parse_status.ts";
import { createSocket, type Socket } from "node:dgram";

/** Short against the time in which a caller gives up on an address. */
const INTERVAL_MS = 250;
/** At most so many datagrams a second, however many entries there are. */
const MAX_SENT_PER_S = 120;
const MS_PER_S = 1_000;
/** Some datagrams in a row may be lost on a link that is not down. */
const SILENT_INTERVALS = 5;
const MIN_SILENCE_MS = 1_200;

export interface StatusExchangeOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  readonly readStatus: () => EntryStatus;
  /** Called after each round with the others that are live. */
  readonly onUpdate: (liveEntries: readonly EntryStatus[]) => void;
}

export class StatusExchange {
  readonly #options: StatusExchangeOptions;
  readonly #socket: Socket;
  readonly #addresses = new Set<string>();
  readonly #followed: FollowedEntries;
  #live = new Set<string>();
  #timer: NodeJS.Timeout | undefined;

  private constructor(options: StatusExchangeOptions) {
    this.#options = options;
    this.#followed = createFollowedEntries({ silenceMs: MIN_SILENCE_MS });
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (bytes) => this.#take(bytes));
    // A send to a VM that is gone fails; the next round tries again.
    this.#socket.on("error", () => undefined);
  }

  static create(options: StatusExchangeOptions): StatusExchange {
    const exchange = new StatusExchange(options);
    exchange.#socket.bind(options.port, options.host);
    exchange.#schedule();
    return exchange;
  }

  /** Entries that are live, without this one. */
  get others(): readonly EntryStatus[] {
    return listLiveEntries(this.#followed, performance.now());
  }

  /** Where another entry may be, from the store. */
  addAddress(peerAddress: string): void {
    const { peerAddress: own } = this.#options.readStatus();
    if (peerAddress !== own) this.#addresses.add(peerAddress);
  }

  /** Tells a change at once instead of with the next round. */
  broadcast(): void {
    const text = JSON.stringify(this.#options.readStatus());
    for (const peerAddress of this.#addresses) {
      const address = parseAddress(peerAddress);
      if (address === undefined) continue;
      this.#socket.send(text, address.port, address.host, () => undefined);
    }
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #schedule(): void {
    const spacedMs = MS_PER_S * this.#addresses.size / MAX_SENT_PER_S;
    const intervalMs = Math.max(INTERVAL_MS, spacedMs);
    this.#timer = setTimeout(() => {
      this.broadcast();
      this.#noteRound(intervalMs);
      this.#schedule();
    }, intervalMs);
  }

  #noteRound(intervalMs: number): void {
    const silenceMs = Math.max(MIN_SILENCE_MS, SILENT_INTERVALS * intervalMs);
    this.#followed.silenceMs = silenceMs;
    const others = this.others;
    const live = new Set(others.map(({ name }) => name));
    for (const entry of this.#live) {
      if (live.has(entry)) continue;
      const silentMs = Math.round(silenceMs);
      this.#options.logger.log("entryLost", { entry, silentMs });
    }
    for (const { name, peerAddress, takesCallers } of others) {
      if (this.#live.has(name)) continue;
      this.#options.logger.log("entryHeard", {
        entry: name,
        peerAddress,
        takes: takesCallers,
      });
    }
    this.#live = live;
    this.#options.onUpdate(others);
  }

  #take(bytes: Buffer): void {
    const status = parseStatus(bytes.toString("utf8"));
    if (status === undefined) return;
    if (status.name === this.#options.readStatus().name) return;
    this.#addresses.add(status.peerAddress);
    noteEntry(this.#followed, { status, nowMs: performance.now() });
  }
}
