/**
 * Monitors other entries. Each entry pings only a few others, selected by
 * rendezvous hashing, and offers the reachable ones to callers.
 */

import type { TextHash } from "@dandelionbank/hash-text";
import { createEntryClient, type EntryClient } from "@dandelionbank/peer-api";
import type { TargetLoss } from "@dandelionbank/quarantine-requests";
import type { EntryRegistration, View } from "@dandelionbank/types";
import type { PeerAccess } from "./peer_access.ts";
import { pickByRendezvousHash } from "./rendezvous_hash.ts";

const PING_INTERVAL_MS = 1_000;
/** Number of other entries that one entry pings. */
const MAX_FOLLOWED_ENTRIES = 7;
/** Consecutive failed pings after which an entry is not offered to callers. */
const FAILURES_UNTIL_UNREACHABLE = 2;
/** Pings on new connections before an entry counts as lost. */
const PROBE_ATTEMPTS = 3;
const PROBE_INTERVAL_MS = 300;

export interface EntryFollowerOptions {
  readonly entry: string;
  readonly access: PeerAccess;
  readonly hash: TextHash;
  /** Called when an entry does not answer, even on new connections. */
  readonly onLost: (incarnation: string) => void;
}

interface FollowedEntry {
  readonly registration: EntryRegistration;
  readonly client: EntryClient;
  failures: number;
}

export class EntryFollower {
  readonly #options: EntryFollowerOptions;
  readonly #followed = new Map<string, FollowedEntry>();
  readonly #probing = new Set<string>();
  readonly #timer: NodeJS.Timeout;
  #view: View | undefined;

  private constructor(options: EntryFollowerOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#pingAll(), PING_INTERVAL_MS);
  }

  static create(options: EntryFollowerOptions): EntryFollower {
    return new EntryFollower(options);
  }

  applyView(view: View): void {
    const before = this.#view;
    this.#view = view;
    if (before?.entries !== view.entries) this.#selectEntries(view);
  }

  /** Returns the callers' URLs of reachable entries, without this entry's own. */
  listReachable(): readonly string[] {
    return [...this.#followed.values()]
      .filter(({ failures }) => failures < FAILURES_UNTIL_UNREACHABLE)
      .filter(({ registration }) => !this.#isClosed(registration.incarnation))
      .map(({ registration }) => registration.callerUrl);
  }

  /** Sends other entries the requests that this entry lost with a target. */
  broadcastLosses(losses: readonly TargetLoss[]): void {
    this.#broadcast((client) => client.takeLosses.mutate([...losses]));
  }

  /** Sends other entries the fingerprint of a request that this entry quarantined. */
  broadcastQuarantine(fingerprint: string): void {
    this.#broadcast((client) => client.takeQuarantine.mutate(fingerprint));
  }

  /** Probes an entry that may be lost, and reports it if no probe is answered. */
  probe(incarnation: string): void {
    if (this.#probing.has(incarnation)) return;
    const registration = [...(this.#view?.entries.values() ?? [])]
      .find(({ value }) => value.incarnation === incarnation)?.value;
    if (registration === undefined) return this.#options.onLost(incarnation);
    this.#probing.add(incarnation);
    void this.#probe(registration);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #probe(registration: EntryRegistration): Promise<void> {
    const { incarnation } = registration;
    for (let probe = 0; probe < PROBE_ATTEMPTS; probe++) {
      if (await this.#isAnswering(registration)) {
        this.#probing.delete(incarnation);
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, PROBE_INTERVAL_MS));
    }
    this.#probing.delete(incarnation);
    this.#options.onLost(incarnation);
  }

  async #isAnswering(registration: EntryRegistration): Promise<boolean> {
    const { access } = this.#options;
    try {
      const client = createEntryClient({ ...access, ...registration });
      const { incarnation } = await client.ping.query();
      return incarnation === registration.incarnation;
    } catch {
      return false;
    }
  }

  #selectEntries(view: View): void {
    const { entry, hash } = this.#options;
    const others = [...view.entries.keys()].filter((name) => name !== entry);
    const selected = new Set(
      pickByRendezvousHash(others, {
        key: entry,
        count: MAX_FOLLOWED_ENTRIES,
        hash,
      }),
    );
    for (const [name, { registration }] of this.#followed) {
      const current = view.entries.get(name)?.value.incarnation;
      if (selected.has(name) && current === registration.incarnation) continue;
      this.#followed.delete(name);
    }
    for (const name of selected) this.#follow(name, view);
  }

  #follow(name: string, view: View): void {
    const registration = view.entries.get(name)?.value;
    if (registration === undefined || this.#followed.has(name)) return;
    const { access } = this.#options;
    const client = createEntryClient({ ...access, ...registration });
    this.#followed.set(name, { registration, client, failures: 0 });
  }

  /** Best effort: an entry that misses the message may still detect losses of its own. */
  #broadcast(call: (client: EntryClient) => Promise<unknown>): void {
    for (const { client } of this.#followed.values()) {
      call(client).catch(() => {});
    }
  }

  #pingAll(): void {
    for (const entry of this.#followed.values()) void this.#ping(entry);
  }

  async #ping(entry: FollowedEntry): Promise<void> {
    try {
      const { incarnation } = await entry.client.ping.query();
      const isSame = incarnation === entry.registration.incarnation;
      entry.failures = isSame ? 0 : FAILURES_UNTIL_UNREACHABLE;
    } catch {
      entry.failures += 1;
    }
  }

  #isClosed(incarnation: string): boolean {
    return this.#view?.closings.has(incarnation) ?? false;
  }
}
