/**
 * Checks, from what engines see, that entries heed what engines announce: that
 * they leave, and for how long they want nothing. An entry that was killed,
 * stopped or frozen since an announcement may have forgotten it.
 */

/** Time in which an entry has to heed an announcement. */
const MAX_REACTION_MS = 500;
/** Requests that may reach an engine all the same while it wants nothing. */
const MAX_STRAY_REQUESTS = 2;

export interface Contact {
  readonly engine: string;
  readonly entry: string;
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

  /** Number of announcements, to tell a check that had nothing to check. */
  get announcementCount(): number {
    return this.#announcements.length;
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
