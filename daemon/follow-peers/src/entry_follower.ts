/**
 * Finds out which other entries answer. Each entry asks only a few others,
 * chosen by rendezvous hashing, and offers callers those that answer.
 */

import type { TextHash } from "@dandelionbank/hash-text";
import { createEntryClient, type EntryClient } from "@dandelionbank/peer-api";
import type { TargetLoss } from "@dandelionbank/quarantine-requests";
import type { EntryRegistration, View } from "@dandelionbank/types";
import type { PeerAccess } from "./peer_access.ts";
import { pickNearest } from "./pick_nearest.ts";

const INTERVAL_MS = 1_000;
/** Other entries that one entry asks. */
const FOLLOWED_ENTRIES = 7;
const FAILURES_TO_SUSPECT = 2;
/** Asks on new connections before an entry counts as lost. */
const PROBES = 3;
const PROBE_INTERVAL_MS = 300;

export interface EntryFollowerOptions {
  readonly entry: string;
  readonly access: PeerAccess;
  readonly hash: TextHash;
  /** The entry does not answer, on new connections either. */
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
  readonly #probed = new Set<string>();
  readonly #timer: NodeJS.Timeout;
  #view: View | undefined;

  private constructor(options: EntryFollowerOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#askAll(), INTERVAL_MS);
  }

  static create(options: EntryFollowerOptions): EntryFollower {
    return new EntryFollower(options);
  }

  applyView(view: View): void {
    const before = this.#view;
    this.#view = view;
    if (before?.entries !== view.entries) this.#choose(view);
  }

  /** Callers' URLs of entries that answer, this one's own left out. */
  listAnswering(): readonly string[] {
    return [...this.#followed.values()]
      .filter(({ failures }) => failures < FAILURES_TO_SUSPECT)
      .filter(({ registration }) => !this.#isClosed(registration.incarnation))
      .map(({ registration }) => registration.callerUrl);
  }

  /** Tells other entries what this one lost with a target. */
  tellLosses(losses: readonly TargetLoss[]): void {
    this.#tell((client) => client.takeLosses.mutate([...losses]));
  }

  /** Tells other entries what this one refuses. */
  tellQuarantine(fingerprint: string): void {
    this.#tell((client) => client.takeQuarantine.mutate(fingerprint));
  }

  /** Asks an entry that seems gone, and reports it if it is. */
  probe(incarnation: string): void {
    if (this.#probed.has(incarnation)) return;
    const registration = [...(this.#view?.entries.values() ?? [])]
      .find(({ value }) => value.incarnation === incarnation)?.value;
    if (registration === undefined) return this.#options.onLost(incarnation);
    this.#probed.add(incarnation);
    void this.#probe(registration);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #probe(registration: EntryRegistration): Promise<void> {
    const { incarnation } = registration;
    for (let probe = 0; probe < PROBES; probe++) {
      if (await this.#answers(registration)) {
        this.#probed.delete(incarnation);
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, PROBE_INTERVAL_MS));
    }
    this.#probed.delete(incarnation);
    this.#options.onLost(incarnation);
  }

  async #answers(registration: EntryRegistration): Promise<boolean> {
    const { access } = this.#options;
    const client = createEntryClient({ ...access, ...registration });
    try {
      const { incarnation } = await client.ping.query();
      return incarnation === registration.incarnation;
    } catch {
      return false;
    }
  }

  #choose(view: View): void {
    const { entry, hash } = this.#options;
    const others = [...view.entries.keys()].filter((name) => name !== entry);
    const chosen = new Set(
      pickNearest(others, { key: entry, count: FOLLOWED_ENTRIES, hash }),
    );
    for (const [name, { registration }] of this.#followed) {
      const now = view.entries.get(name)?.value.incarnation;
      if (chosen.has(name) && now === registration.incarnation) continue;
      this.#followed.delete(name);
    }
    for (const name of chosen) this.#follow(name, view);
  }

  #follow(name: string, view: View): void {
    const registration = view.entries.get(name)?.value;
    if (registration === undefined || this.#followed.has(name)) return;
    const { access } = this.#options;
    const client = createEntryClient({ ...access, ...registration });
    this.#followed.set(name, { registration, client, failures: 0 });
  }

  /** An entry that does not hear it finds out by a loss of its own. */
  #tell(call: (client: EntryClient) => Promise<unknown>): void {
    for (const { client } of this.#followed.values()) {
      call(client).catch(() => {});
    }
  }

  #askAll(): void {
    for (const entry of this.#followed.values()) void this.#ask(entry);
  }

  async #ask(entry: FollowedEntry): Promise<void> {
    try {
      const { incarnation } = await entry.client.ping.query();
      const isSame = incarnation === entry.registration.incarnation;
      entry.failures = isSame ? 0 : FAILURES_TO_SUSPECT;
    } catch {
      entry.failures += 1;
    }
  }

  #isClosed(incarnation: string): boolean {
    return this.#view?.closings.has(incarnation) ?? false;
  }
}
