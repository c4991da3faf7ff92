/**
 * Writes a process's registration, however long the platform takes to answer,
 * and withdraws it at a graceful stop. A registration of the same name belongs
 * to an earlier incarnation and is replaced.
 */

import { computeBackoffMs } from "@dandelionbank/back-off";
import type { Logger } from "@dandelionbank/log-events";
import type { ObjectKind, ObjectStore } from "@dandelionbank/types";
import { randomUUID } from "node:crypto";
import { setTimeout as wait } from "node:timers/promises";

const FIRST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 5_000;

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

  /** Resolves when the registration is known to be written, or withdrawn. */
  write(): Promise<void> {
    this.#writing = this.#writeUntilDone();
    return this.#writing;
  }

  /** Removes the registration if it is still this process's own. */
  async withdraw(): Promise<void> {
    this.#isWithdrawn = true;
    // A write under way may still take effect.
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

  async #writeUntilDone(): Promise<void> {
    const { kind, name, logger } = this.#options;
    for (let attempt = 0; !this.#isWithdrawn; attempt++) {
      try {
        if (await this.#tryWrite()) return;
      } catch (error) {
        const message = (error as Error).message;
        logger.log("registrationRetried", { kind, name, message });
        await wait(retryDelayMs(attempt));
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

function retryDelayMs(attempt: number): number {
  return computeBackoffMs(attempt + 1, {
    firstMs: FIRST_RETRY_MS,
    longestMs: LONGEST_RETRY_MS,
    random: Math.random(),
  });
}
