/** Admission by deadline. */
export * from './Admission.js';
export * from './DeadlineAdmission.js';
export * from './estimates.js';
export * from './OpenAdmission.js';
