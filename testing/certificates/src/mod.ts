/** Throwaway authorities and certificates for tests. */

export { createTestAuthority, withTestFolder } from "./test_authority.ts";
export type { IssuedPair, TestAuthority } from "./test_authority.ts";
