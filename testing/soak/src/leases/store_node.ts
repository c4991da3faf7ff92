/** A simulated platform store for one duty: conditional writes, reads and a watch. */

import type { DutyObject } from "@dandelionbank/hold-duty";
import type { LeaseMessage, WriteRequest } from "./messages.ts";
import type { LeasesWorld } from "./leases_world.ts";

export const STORE = "store";

export class StoreNode {
  readonly #world: LeasesWorld;
  #object: DutyObject | null = null;
  #revision = 1;
  writeCount = 0;
  isDown = false;
  /** Whether writes take effect but their answers are lost. */
  losesAnswers = false;

  static create(world: LeasesWorld): StoreNode {
    return new StoreNode(world);
  }

  private constructor(world: LeasesWorld) {
    this.#world = world;
    world.queue.start(STORE, {
      receive: (message, from) => this.#receive(message, from),
    });
  }

  get object(): DutyObject | null {
    return this.#object;
  }

  #receive(message: LeaseMessage, from: string): void {
    if (this.isDown) return;
    if (message.type === "read") {
      this.#send(from, {
        type: "object",
        object: this.#object,
        written: false,
      });
    }
    if (message.type === "write") this.#write(message, from);
  }

  #write(request: WriteRequest, from: string): void {
    this.writeCount += 1;
    const { changeId, record, expectedRevision } = request;
    const written = this.#object?.revision === expectedRevision;
    if (written) {
      this.#revision += 1;
      this.#object = { uid: "u", revision: this.#revision, changeId, record };
      this.#world.recordClaim(this.#object);
      this.#notifyAll();
    }
    if (this.losesAnswers) {
      this.#world.count("faults", "answersLost");
      return;
    }
    const object = this.#object;
    this.#send(from, { type: "object", object, changeId, written });
  }

  #notifyAll(): void {
    const object = this.#object;
    for (const { name } of [...this.#world.entries, ...this.#world.agents]) {
      this.#send(name, { type: "object", object, written: false });
    }
  }

  #send(to: string, message: LeaseMessage): void {
    this.#world.queue.post({ from: STORE, to }, message);
  }
}
