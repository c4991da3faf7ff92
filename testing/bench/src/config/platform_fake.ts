/** The platform's objects for the measurement: whole lists, revisions, watches. */

import type { MessageQueue } from "@dandelionbank/message-queue";
import type {
  ObjectChange,
  StoredObject,
  ViewDelta,
  ViewMessage,
} from "@dandelionbank/types";

const ANSWER_MS = 5;
/** Makes 450 contracts about 200 KB. */
const CONTRACT_TEXT = "x".repeat(280);

export interface PlatformFakeOptions {
  readonly queue: MessageQueue<ViewMessage>;
  readonly contracts: number;
  readonly deliver: (name: string, delta: ViewDelta) => void;
}

export class PlatformFake {
  readonly #options: PlatformFakeOptions;
  readonly #objects: StoredObject[] = [];
  readonly #watchers = new Set<string>();
  #revision = 0;
  #calls = 0;
  counting = false;

  private constructor(options: PlatformFakeOptions) {
    this.#options = options;
    for (let i = 0; i < options.contracts; i++) this.#put(i);
  }

  static create(options: PlatformFakeOptions): PlatformFake {
    return new PlatformFake(options);
  }

  get calls(): number {
    return this.#calls;
  }

  /** Answers with the list as it is when asked, a little later. */
  read(name: string, answer: (delta: ViewDelta) => void): void {
    this.#countCall();
    const delta = {
      since: undefined,
      revision: this.#revision,
      changes: this.#objects.map((object) =>
        ({ type: "put", object }) as const
      ),
    };
    const run = () => answer(delta);
    this.#options.queue.startTimer(name, { delayMs: ANSWER_MS, run });
  }

  watch(name: string): void {
    this.#watchers.add(name);
  }

  /** Changes a contract; returns the new revision. */
  change(): number {
    const { queue, contracts, deliver } = this.#options;
    const since = this.#revision;
    const change = this.#put(queue.random.int(0, contracts - 1));
    const delta = { since, revision: this.#revision, changes: [change] };
    this.#countCall();
    for (const name of this.#watchers) {
      const run = () => deliver(name, delta);
      queue.startTimer(name, { delayMs: ANSWER_MS, run });
    }
    return this.#revision;
  }

  #put(index: number): ObjectChange {
    this.#revision += 1;
    const object: StoredObject = {
      kind: "contract",
      name: `organisation-${index}`,
      uid: `uid-${index}`,
      revision: this.#revision,
      changeId: `change-${this.#revision}`,
      value: CONTRACT_TEXT,
    };
    this.#objects[index] = object;
    return { type: "put", object };
  }

  #countCall(): void {
    if (this.counting) this.#calls += 1;
  }
}
