/** Derives the limiter's events for the contracts that differ between two views. */

import type { LimitEvent } from "@dandelionbank/limit-requests";
import type { View } from "@dandelionbank/types";

export function createContractEvents(
  before: View | undefined,
  after: View,
): readonly LimitEvent[] {
  if (before?.contracts === after.contracts) return [];
  const changed = [...after.contracts.values()]
    .filter(({ name, revision }) =>
      before?.contracts.get(name)?.revision !== revision
    )
    .map((
      { value },
    ) => ({ type: "contractChanged", contract: value } as const));
  const removed = [...(before?.contracts.values() ?? [])]
    .filter(({ name }) => !after.contracts.has(name))
    .map(({ value: { organisation } }) =>
      ({ type: "contractRemoved", organisation }) as const
    );
  return [...removed, ...changed];
}
