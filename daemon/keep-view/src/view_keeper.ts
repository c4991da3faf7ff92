/**
 * Folds the events of the platform's watch into a view, a consistent snapshot of
 * the stored objects, and publishes each new view. The last view remains in force
 * during an outage of the platform. An error of one listener is logged; the others
 * and the watch go on.
 */

import type { PlatformClient } from "@dandelionbank/call-platform";
import {
  createViewState,
  type ParsedObject,
  stepView,
  type ViewEffect,
  type ViewState,
} from "@dandelionbank/fold-view";
import type { Logger } from "@dandelionbank/log-events";
import { checkName, parseValue } from "@dandelionbank/parse-objects";
import { CoreRunner } from "@dandelionbank/run-core";
import type { PlannedStop, StoredObject, View } from "@dandelionbank/types";
import { type WatchEvent, watchObjects } from "@dandelionbank/watch-objects";

export interface ViewKeeperOptions {
  readonly client: PlatformClient;
  readonly logger: Logger;
  /** Called in order with each new view. */
  readonly viewListeners: readonly ViewListener[];
  /** Called with each event of the watch, after it was applied to the view. */
  readonly onWatchEvent: (event: WatchEvent) => void;
}

export type ViewListener = (view: View) => void;

export class ViewKeeper {
  readonly #options: ViewKeeperOptions;
  readonly #runner: CoreRunner<ViewState, WatchEvent, ViewEffect>;
  #isReachable = false;

  private constructor(options: ViewKeeperOptions) {
    this.#options = options;
    this.#runner = CoreRunner.create({
      initial: createViewState(parseObject),
      step: stepView,
      perform: (effect) => this.#perform(effect),
      readNowMs: () => performance.now(),
    });
  }

  static create(options: ViewKeeperOptions): ViewKeeper {
    return new ViewKeeper(options);
  }

  get view(): View | undefined {
    return this.#runner.state.view;
  }

  /** Whether the last event of the watch was not a failure. */
  get isPlatformReachable(): boolean {
    return this.#isReachable;
  }

  /** Subscribes to the watch; returns a function that ends the subscription. */
  start(): () => void {
    const { client } = this.#options;
    const subscription = watchObjects({ client, random: Math.random })
      .subscribe({
        next: (event) => this.#handleEvent(event),
        error: (error) => {
          throw error;
        },
        complete: () => {},
      });
    return () => subscription.unsubscribe();
  }

  #handleEvent(event: WatchEvent): void {
    this.#isReachable = event.type !== "unreachable";
    this.#runner.post(event);
    this.#guard(event.type, () => this.#options.onWatchEvent(event));
  }

  #perform(effect: ViewEffect): void {
    const { logger } = this.#options;
    switch (effect.type) {
      case "viewChanged":
        logger.log("viewAdvanced", { revision: effect.view.revision });
        return this.#publish(effect.view);
      case "viewConfirmed":
        return;
      case "objectRefused":
        return logger.log("objectRefused", {
          kind: effect.kind,
          name: effect.name,
          revision: effect.revision,
          problems: effect.problems.join("; "),
        });
      case "olderStateIgnored":
        return logger.log("olderStateIgnored", {
          revision: effect.revision,
          viewRevision: effect.viewRevision,
        });
      case "platformUnreachable":
        return;
    }
  }

  #publish(view: View): void {
    for (const listener of this.#options.viewListeners) {
      this.#guard(`view ${view.revision}`, () => listener(view));
    }
  }

  #guard(operation: string, call: () => void): void {
    try {
      call();
    } catch (error) {
      const detail = String(error);
      this.#options.logger.log("unexpectedError", { operation, detail });
    }
  }
}

function parseObject(object: StoredObject): ParsedObject {
  const { kind, name } = object;
  const parsed = parseValue(kind, object.value);
  const problems = parsed.kind === "invalid"
    ? parsed.problems
    : checkName(kind, { name, value: parsed.value });
  if (problems.length === 0) return parsed;
  // The name of a planned stop says which target leaves, whatever its value is.
  return kind === "stop"
    ? { kind: "invalid", problems, substitute: createUnknownStop(name) }
    : { kind: "invalid", problems };
}

function createUnknownStop(target: string): PlannedStop {
  return { target, reason: "invalid object", requestedBy: "unknown" };
}
