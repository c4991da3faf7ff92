/** Temporary certificate authorities and certificates for tests. */

export { createTestAuthority, withTempFolder } from "./test_authority.ts";
export type { CertificatePair, TestAuthority } from "./test_authority.ts";
