/**
 * Writes the registration object of a process, retrying until the platform
 * accepts it, and removes it at a graceful stop. An existing registration under
 * the same name belongs to an earlier incarnation of the process and is replaced.
 */

import { computeBackoffMs } from "@dandelionbank/back-off";
import type { Logger } from "@dandelionbank/log-events";
import type { ObjectKind, ObjectStore } from "@dandelionbank/types";
import { randomUUID } from "node:crypto";
import { setTimeout as wait } from "node:timers/promises";

const BASE_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 5_000;

export interface ProcessRegistrationOptions {
  readonly store: ObjectStore;
  readonly kind: ObjectKind;
  readonly name: string;
  readonly value: unknown;
  readonly logger: Logger;
}

export class ProcessRegistration {
  readonly #options: ProcessRegistrationOptions;
  #revision: number | undefined;
  #isWithdrawn = false;
  #writing: Promise<void> = Promise.resolve();

  private constructor(options: ProcessRegistrationOptions) {
    this.#options = options;
  }

  static create(options: ProcessRegistrationOptions): ProcessRegistration {
    return new ProcessRegistration(options);
  }

  /** Resolves when the registration has been written or withdrawn. */
  write(): Promise<void> {
    this.#writing = this.#writeWithRetries();
    return this.#writing;
  }

  /** Removes the registration unless a later incarnation has replaced it. */
  async withdraw(): Promise<void> {
    this.#isWithdrawn = true;
    // A write in flight may still take effect.
    await this.#writing;
    if (this.#revision === undefined) return;
    const { store, kind, name, logger } = this.#options;
    try {
      await store.delete({ kind, name }, this.#revision);
    } catch (error) {
      const message = (error as Error).message;
      logger.log("registrationKept", { kind, name, message });
    }
  }

  async #writeWithRetries(): Promise<void> {
    const { kind, name, logger } = this.#options;
    for (let attempt = 0; !this.#isWithdrawn; attempt++) {
      try {
        if (await this.#tryWrite()) return;
      } catch (error) {
        const message = (error as Error).message;
        logger.log("registrationRetried", { kind, name, message });
        await wait(computeRetryDelayMs(attempt));
      }
    }
  }

  async #tryWrite(): Promise<boolean> {
    const { store, kind, name, value } = this.#options;
    const current = await store.get(kind, name);
    const result = await store.put({ kind, name }, value, {
      expectedRevision: current?.revision,
      changeId: randomUUID(),
    });
    if (result.kind === "conflict") return false;
    this.#revision = result.object.revision;
    return true;
  }
}

function computeRetryDelayMs(attempt: number): number {
  return computeBackoffMs(attempt + 1, {
    firstMs: BASE_RETRY_DELAY_MS,
    longestMs: MAX_RETRY_DELAY_MS,
    random: Math.random(),
  });
}
