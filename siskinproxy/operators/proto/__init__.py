"""Definition and generated code of the administration interface.

The modules are generated from ``admin.proto``.
"""
