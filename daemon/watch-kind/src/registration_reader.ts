/**
 * Reads the registrations of targets from the events of a watch. One that names no
 * target is logged once, until it names one or is gone, however often it changes.
 */

import type { Logger } from "@dandelionbank/log-events";
import { decodeTarget, type StoredItem } from "@dandelionbank/platform-adapter";
import type { RegisteredTarget } from "@dandelionbank/types";

/** Bounds the memory and the log that malformed registrations take. */
const MAX_REFUSED = 256;
/** Longest part of a name that is logged. */
const MAX_LOGGED_LENGTH = 128;

export class RegistrationReader {
  readonly #logger: Logger;
  /** Names of the registrations that were logged. */
  readonly #refused = new Set<string>();

  private constructor(logger: Logger) {
    this.#logger = logger;
  }

  static create(logger: Logger): RegistrationReader {
    return new RegistrationReader(logger);
  }

  /** Reads a whole list. */
  readList(items: readonly StoredItem[]): readonly RegisteredTarget[] {
    const listed = new Set(items.map(({ name }) => name));
    for (const name of this.#refused) {
      if (!listed.has(name)) this.#refused.delete(name);
    }
    return items.flatMap((item) => this.read(item) ?? []);
  }

  /** Reads a registration that was written; undefined if it names no target. */
  read(item: StoredItem): RegisteredTarget | undefined {
    const decoded = decodeTarget(item);
    if (decoded.kind === "malformed") {
      this.#refuse(item, decoded.reason);
      return undefined;
    }
    this.#refused.delete(item.name);
    return decoded.target;
  }

  /** Forgets a registration that was deleted. */
  forget(name: string): void {
    this.#refused.delete(name);
  }

  #refuse({ name, revision }: StoredItem, reason: string): void {
    if (this.#refused.has(name) || this.#refused.size >= MAX_REFUSED) return;
    this.#refused.add(name);
    const target = name.slice(0, MAX_LOGGED_LENGTH);
    this.#logger.log("registrationRefused", { target, revision, reason });
  }
}
