/**
 * Checks, from what engines see, that entries heed what engines announce: that
 * they leave, and for how long they want nothing. An entry that was killed,
 * stopped or frozen since an announcement may have forgotten it.
 */

import { setTimeout as delay } from "node:timers/promises";

/** Time in which an entry has to heed an announcement. */
const MAX_REACTION_MS = 500;
/** Requests that may reach an engine all the same while it wants nothing. */
const MAX_STRAY_REQUESTS = 2;
/** Time in which callers reach an engine that announces something, without faults. */
const MAX_ANNOUNCEMENT_MS = 2_000;
const POLL_INTERVAL_MS = 20;

export interface Contact {
  readonly engine: string;
  readonly entry: string;
}

/** How often engines announced something, to detect a check without anything to check. */
export interface AnnouncementCounts {
  readonly leaving: number;
  /** Times that an engine announced for how long it wants nothing. */
  readonly refusing: number;
}

interface Arrival extends Contact {
  readonly atMs: number;
}

interface Announcement extends Contact {
  readonly atMs: number;
  /** How long the engine wants nothing; infinite if it leaves. */
  readonly forMs: number;
}

interface Disturbance {
  readonly entry: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

export class NoticeChecks {
  readonly #arrivals: Arrival[] = [];
  readonly #announcements: Announcement[] = [];
  readonly #disturbances: Disturbance[] = [];

  private constructor() {}

  static create(): NoticeChecks {
    return new NoticeChecks();
  }

  countAnnouncements(): AnnouncementCounts {
    const leaving =
      this.#announcements.filter(({ forMs }) => forMs === Infinity).length;
    return { leaving, refusing: this.#announcements.length - leaving };
  }

  /** Waits until engines have announced both, or `MAX_ANNOUNCEMENT_MS` are over. */
  async waitUntilAnnounced(): Promise<void> {
    const untilMs = performance.now() + MAX_ANNOUNCEMENT_MS;
    while (performance.now() < untilMs) {
      const { leaving, refusing } = this.countAnnouncements();
      if (leaving > 0 && refusing > 0) return;
      await delay(POLL_INTERVAL_MS);
    }
  }

  recordArrival(contact: Contact): void {
    this.#arrivals.push({ ...contact, atMs: performance.now() });
  }

  recordAnnouncement(contact: Contact, forMs: number): void {
    const atMs = performance.now();
    this.#announcements.push({ ...contact, atMs, forMs });
  }

  recordDisturbance(entry: string, fromMs: number): void {
    const untilMs = performance.now();
    this.#disturbances.push({ entry, fromMs, untilMs });
  }

  findViolations(): readonly string[] {
    return this.#announcements.flatMap((announcement) => {
      const { engine, entry, forMs } = announcement;
      const strays = this.#arrivals.filter((arrival) =>
        this.#isStray(arrival, announcement)
      );
      const allowed = forMs === Infinity ? 0 : MAX_STRAY_REQUESTS;
      return strays.length <= allowed ? [] : [
        `${engine} wanted nothing from ${entry} for ${forMs} ms and got ${strays.length} requests`,
      ];
    });
  }

  #isStray(
    arrival: Arrival,
    { engine, entry, atMs, forMs }: Announcement,
  ): boolean {
    if (arrival.engine !== engine || arrival.entry !== entry) return false;
    if (arrival.atMs < atMs + MAX_REACTION_MS) return false;
    if (arrival.atMs > atMs + forMs) return false;
    return !this.#disturbances.some((disturbance) =>
      disturbance.entry === entry && disturbance.untilMs >= atMs &&
      disturbance.fromMs <= arrival.atMs
    );
  }
}
