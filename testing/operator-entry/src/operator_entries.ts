/** Starts entries' operators' interfaces on loopback, each with a fault. */

import { digestKey } from "@dandelionbank/check-credential";
import { MemoryStore } from "@dandelionbank/memory-store";
import { createOperatorHandler } from "@dandelionbank/operator-api";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { EXAMPLE_STATUS } from "./examples.ts";
import {
  collectRun,
  type Tool,
  type ToolEnvironment,
  type ToolRun,
} from "./tool_run.ts";

export const OPERATOR_KEY = "asha-key-of-tests";

/** What a server does with its calls. */
export type EntryFault = "none" | "cutAfterEffect" | "notAnEntry" | "silent";

export interface OperatorEntriesOptions {
  readonly tool: Tool;
  /** One entry is started for each. */
  readonly faults: readonly EntryFault[];
}

export interface OperatorEntries {
  readonly store: MemoryStore;
  /** Names the entries and the key of operator `asha`. */
  readonly environment: ToolEnvironment;
  /** Runs the tool against the entries, as operator `asha`. */
  run(args: readonly string[], input?: string): Promise<ToolRun>;
}

/** The entries share one store, and are stopped after `use`. */
export async function withOperatorEntries(
  { tool, faults }: OperatorEntriesOptions,
  use: (entries: OperatorEntries) => Promise<void>,
): Promise<void> {
  const store = MemoryStore.create();
  const operator = { name: "asha", keyDigests: [digestKey(OPERATOR_KEY)] };
  store.seed({ kind: "operator", name: "asha" }, operator);
  const servers = await Promise.all(
    faults.map((fault) => startEntry(store, fault)),
  );
  const environment = {
    DANDELIONBANK_ENTRY_URL: servers.map(urlOf).join(","),
    DANDELIONBANK_KEY: OPERATOR_KEY,
  };
  const run = (args: readonly string[], input = "") =>
    collectRun(tool, { args, input, environment });
  try {
    await use({ store, environment, run });
  } finally {
    for (const server of servers) await stop(server);
  }
}

async function startEntry(
  store: MemoryStore,
  fault: EntryFault,
): Promise<Server> {
  const handle = createOperatorHandler({
    store,
    readView: () => store.readView(),
    readStatus: () => EXAMPLE_STATUS,
    logger: { log: () => {} },
  });
  const server = createServer((request, response) => {
    if (fault === "silent") return;
    if (fault === "notAnEntry") return void response.end("<html>");
    if (fault === "cutAfterEffect" && request.method === "POST") {
      const cut = () => request.socket.destroy();
      Object.assign(response, { write: cut, end: cut });
    }
    void handle(request, response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function urlOf(server: Server): string {
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function stop(server: Server): Promise<void> {
  const closed = once(server, "close");
  server.close();
  server.closeAllConnections();
  await closed;
}
