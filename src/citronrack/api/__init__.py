"""The intent API over HTTP; `app.create_app` makes the WSGI application."""
