/**
 * Runs a case with a store, entries and engines of its own, and ends all of them.
 * The process exits with 1 if the rule was broken, 0 if it held, and 2 if the case
 * could not run.
 */

import process from "node:process";
import { call } from "./client.mjs";
import { Engine } from "./engine.mjs";
import { EntryFleet } from "./entry.mjs";
import { Record } from "./record.mjs";
import { Store } from "./store.mjs";

export class Case {
  record = new Record();
  hasTrouble = process.env.TROUBLE !== "0";
  engines = [];
  isEnding = false;

  /** `events` are the log events of entries that the record tells. */
  static async create({ entryCount, events }) {
    const instance = new Case();
    instance.store = await Store.create();
    instance.fleet = await EntryFleet.create(instance.store, {
      count: entryCount,
      onEvent: (entry, name, fields) => {
        if (!events.includes(name)) return;
        instance.note(`${entry.name}: ${name} ${JSON.stringify(fields)}`);
      },
    });
    return instance;
  }

  note(text) {
    this.record.note(text);
  }

  nowMs() {
    return this.record.nowMs();
  }

  async startEngine(options) {
    const engine = await Engine.create(this.store, {
      ...options,
      onArrival: (at, arrived) => {
        this.note(`${arrived.attemptId} reaches engine ${at.id}`);
        options.onArrival?.(at, arrived);
      },
      onRun: (at, started) => {
        this.note(`engine ${at.id} runs ${started.attemptId}`);
        return options.onRun?.(at, started);
      },
    });
    this.engines.push(engine);
    return engine;
  }

  /** Starts these entries, or all, and waits until they are ready. */
  async startEntries(indexes = this.fleet.entries.map(({ index }) => index)) {
    for (const index of indexes) this.fleet.start(index);
    for (const index of indexes) await this.fleet.waitUntilReady(index);
    const names = indexes.map((index) => this.fleet.entries[index].name);
    this.note(`ready: ${names.join(", ")}`);
  }

  /** Sends a request to an entry, and resolves with its end. */
  async send(index, options) {
    const { ip, name } = this.fleet.entries[index];
    this.note(`${options.id} is sent to ${name}`);
    const result = await call({ ip, port: this.fleet.ports.frontend }, options);
    const end = result.error ?? String(result.status);
    this.note(`${options.id} ends with ${end}`);
    return { ...result, end };
  }

  close() {
    this.isEnding = true;
    this.fleet.close();
    for (const engine of this.engines) engine.close();
    this.store.close();
  }
}

/** `run` resolves with true if the rule was broken, or undefined if it says nothing. */
export async function runCase(caseUrl, options, run) {
  const instance = await Case.create(options);
  let code = 2;
  try {
    const isBroken = await run(instance);
    if (isBroken !== undefined) code = isBroken ? 1 : 0;
  } catch (error) {
    instance.note(`the case could not run: ${error.stack}`);
  } finally {
    instance.close();
  }
  instance.note(`exit code ${code}`);
  instance.record.write(caseUrl);
  process.exit(code);
}
