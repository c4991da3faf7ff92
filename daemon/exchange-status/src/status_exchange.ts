/**
 * Broadcasts this entry's status to the other entries in UDP datagrams, and
 * receives theirs. Each datagram carries the full status, so the next one makes
 * up for a lost one. A starting entry reads the addresses of registered entries
 * from the store; after that, addresses are learned from the datagrams.
 */

import {
  createEntryTracker,
  type EntryStatus,
  type EntryTracker,
  listLiveEntries,
  recordEntryStatus,
} from "@dandelionbank/track-entries";
import type { Logger } from "@dandelionbank/log-events";
import { parseAddress } from "@dandelionbank/platform-adapter";
import { parseStatus } from "./parse_status.ts";
import { createSocket, type Socket } from "node:dgram";

/**
 * Short compared with the time after which a caller stops trying an address.
 */
const BROADCAST_INTERVAL_MS = 250;
/** Limits the datagrams sent per second when there are many entries. */
const MAX_SENT_PER_S = 120;
const MS_PER_S = 1_000;
/**
 * Missed rounds after which an entry counts as lost. A working link may drop
 * several datagrams in a row.
 */
const MISSED_ROUNDS = 5;
/** Shortest time without a datagram after which an entry counts as lost. */
const MIN_LIVENESS_TIMEOUT_MS = 1_200;

export interface StatusExchangeOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  readonly readStatus: () => EntryStatus;
  /** Called with each status of another entry as it arrives. */
  readonly onStatus: (status: EntryStatus) => void;
  /** Called after each round with the other live entries. */
  readonly onUpdate: (liveEntries: readonly EntryStatus[]) => void;
}

export class StatusExchange {
  readonly #options: StatusExchangeOptions;
  readonly #socket: Socket;
  readonly #addresses = new Set<string>();
  readonly #tracker: EntryTracker;
  /** Names of the entries that were live in the last round. */
  #liveNames = new Set<string>();
  #timer: NodeJS.Timeout | undefined;

  private constructor(options: StatusExchangeOptions) {
    this.#options = options;
    this.#tracker = createEntryTracker({
      livenessTimeoutMs: MIN_LIVENESS_TIMEOUT_MS,
    });
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (bytes) => this.#handleDatagram(bytes));
    // Sending to a VM that is down fails; the next round tries again.
    this.#socket.on("error", () => undefined);
  }

  static create(options: StatusExchangeOptions): StatusExchange {
    const exchange = new StatusExchange(options);
    exchange.#socket.bind(options.port, options.host);
    exchange.#schedule();
    return exchange;
  }

  /** The live entries, without this one. */
  get liveEntries(): readonly EntryStatus[] {
    return listLiveEntries(this.#tracker, performance.now());
  }

  /** Adds the peer address of an entry registered in the store. */
  addAddress(peerAddress: string): void {
    const { peerAddress: ownAddress } = this.#options.readStatus();
    if (peerAddress !== ownAddress) this.#addresses.add(peerAddress);
  }

  /** Sends the status at once instead of in the next round. */
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
    const rateLimitedMs = MS_PER_S * this.#addresses.size / MAX_SENT_PER_S;
    const intervalMs = Math.max(BROADCAST_INTERVAL_MS, rateLimitedMs);
    this.#timer = setTimeout(() => {
      this.broadcast();
      this.#updateLiveEntries(intervalMs);
      this.#schedule();
    }, intervalMs);
  }

  #updateLiveEntries(intervalMs: number): void {
    const livenessTimeoutMs = Math.max(
      MIN_LIVENESS_TIMEOUT_MS,
      MISSED_ROUNDS * intervalMs,
    );
    this.#tracker.livenessTimeoutMs = livenessTimeoutMs;
    const otherEntries = this.liveEntries;
    const liveNames = new Set(otherEntries.map(({ name }) => name));
    for (const entry of this.#liveNames) {
      if (liveNames.has(entry)) continue;
      const silentMs = Math.round(livenessTimeoutMs);
      this.#options.logger.log("entryLost", { entry, silentMs });
    }
    for (const { name, peerAddress, takesCallers } of otherEntries) {
      if (this.#liveNames.has(name)) continue;
      this.#options.logger.log("entryHeard", {
        entry: name,
        peerAddress,
        takes: takesCallers,
      });
    }
    this.#liveNames = liveNames;
    this.#options.onUpdate(otherEntries);
  }

  #handleDatagram(bytes: Buffer): void {
    const status = parseStatus(bytes.toString("utf8"));
    if (status === undefined) return;
    if (status.name === this.#options.readStatus().name) return;
    this.#addresses.add(status.peerAddress);
    recordEntryStatus(this.#tracker, { status, nowMs: performance.now() });
    this.#options.onStatus(status);
  }
}
