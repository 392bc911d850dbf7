/** Admission policies. */
export * from './AdmissionPolicy.js';
export * from './DeadlineAdmission.js';
export * from './estimates.js';
export * from './QueueLengthAdmission.js';
