/** Stored objects from which the bench creates views of any size. */

import type {
  AgentRegistration,
  Contract,
  EntryRegistration,
  ObjectKind,
  StoredObject,
} from "@dandelionbank/types";

export function createObject<Value>(
  id: { readonly kind: ObjectKind; readonly name: string },
  value: Value,
  revision = 1,
): StoredObject<Value> {
  const text = `${id.kind}-${id.name}`;
  return { ...id, uid: text, revision, changeId: `${text}-${revision}`, value };
}

export function createContract(number: number): Contract {
  return {
    organisation: `organisation-${number}`,
    keyDigests: [number.toString(16).padStart(64, "0")],
    requestsPerSecond: 100,
    concurrentRequests: 100,
    tokensPerMinute: 1_000_000,
    shareWeight: 1,
    priority: 5,
    objective: { firstTokenMs: 1_100, betweenTokensMs: 72, answeredMs: 10_000 },
  };
}

export function createAgent(
  number: number,
  peerUrl: string,
): AgentRegistration {
  return {
    target: {
      name: `target-${number}`,
      kind: "engine",
      pool: `pool-${number % 14}`,
      dataCentre: `kochi-${number % 12}`,
    },
    incarnation: `agent-incarnation-${number}`,
    peerUrl,
  };
}

export function createEntry(
  number: number,
  peerUrl: string,
): EntryRegistration {
  return {
    name: `entry-${number}`,
    incarnation: `entry-incarnation-${number}`,
    callerUrl: peerUrl,
    peerUrl,
    dataCentre: `kochi-${number % 12}`,
  };
}
